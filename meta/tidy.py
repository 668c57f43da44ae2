#!/usr/bin/env python3
"""Runs clang-tidy on source files in parallel: meta/tidy.py FOLDER FILE...

A file that passed is not run again while its preprocessed source, its flags,
the configuration and the tool stay the same. Passes are kept outside the
checkout, in TURMERIC_CACHE or the user's cache folder; whatever is not found
there is run.
"""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(os.environ.get(
    'TURMERIC_CACHE', pathlib.Path.home() / '.cache' / 'turmericfront')) / 'tidy'


def compile_commands(folder):
    """The command of each source file, without its output and launcher."""
    commands = {}
    for entry in json.loads((folder / 'compile_commands.json').read_text()):
        words = shlex.split(entry['command'])
        if words[0].endswith('ccache'):
            words = words[1:]
        kept = []
        skip = False
        for word in words:
            if skip:
                skip = False
            elif word in ('-o', '-MT', '-MF'):
                skip = True
            elif word not in ('-c', '-MD'):
                kept.append(word)
        commands[str(pathlib.Path(entry['file']).resolve())] = (
            kept, entry['directory'])
    return commands


def digest_of(command, directory, environment):
    """A digest of all that the result depends on; None if it has none."""
    preprocessed = subprocess.run([*command, '-E', '-P'], cwd=directory,
                                  capture_output=True, check=False)
    if preprocessed.returncode != 0:
        return None
    digest = hashlib.sha256(environment)
    flags = [word for word in command if word.startswith('-')
             and not word.startswith('-I')]
    digest.update(' '.join(flags).encode())
    # Assertions name their file; the same source in another checkout is the
    # same source.
    digest.update(preprocessed.stdout.replace(str(ROOT).encode(), b''))
    # Comments can switch checks off, and preprocessing drops them.
    digest.update(pathlib.Path(command[-1]).read_bytes())
    return digest.hexdigest()


def check(path, folder, commands, environment):
    """Returns the output of a run that failed, or None."""
    command = commands.get(str(path.resolve()))
    mark = None
    if command is not None:
        digest = digest_of(*command, environment)
        mark = CACHE / digest if digest else None
        if mark and mark.exists():
            return None
    run = subprocess.run(['clang-tidy', '--quiet', '-p', str(folder),
                          str(path)], capture_output=True, text=True,
                         check=False)
    if run.returncode != 0:
        return run.stdout + run.stderr
    if mark:
        CACHE.mkdir(parents=True, exist_ok=True)
        mark.touch()
    return None


def main():
    folder = pathlib.Path(sys.argv[1]).resolve()
    commands = compile_commands(folder)
    environment = (ROOT / '.clang-tidy').read_bytes() + subprocess.run(
        ['clang-tidy', '--version'], capture_output=True,
        check=True).stdout
    jobs = int(os.environ.get('TURMERIC_JOBS', os.cpu_count() or 1))
    paths = [ROOT / name for name in sys.argv[2:]]
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        faults = [text for text in pool.map(
            lambda path: check(path, folder, commands, environment), paths)
            if text is not None]
    for text in faults:
        print(text, file=sys.stderr)
    return 1 if faults else 0


if __name__ == '__main__':
    sys.exit(main())
