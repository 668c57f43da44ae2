#!/usr/bin/env python3
"""Runs clang-tidy on source files in parallel: meta/tidy.py FOLDER FILE...

A file that passed is not checked again while its preprocessed source, its
flags, the configuration and the version of clang-tidy stay the same. Passes are
recorded outside the checkout, in TURMERIC_CACHE or the user's cache folder;
files without a recorded pass are checked.
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
    """Returns the compile command of each source file, without its output
    options and compiler launcher."""
    commands = {}
    for entry in json.loads((folder / 'compile_commands.json').read_text()):
        words = shlex.split(entry['command'])
        if words[0].endswith('ccache'):
            words = words[1:]
        arguments = []
        is_output_path = False
        for word in words:
            if is_output_path:
                is_output_path = False
            elif word in ('-o', '-MT', '-MF'):
                is_output_path = True
            elif word not in ('-c', '-MD'):
                arguments.append(word)
        commands[str(pathlib.Path(entry['file']).resolve())] = (
            arguments, entry['directory'])
    return commands


def digest_of(command, directory, environment):
    """Returns a digest of everything that the result depends on, or None if the
    source cannot be preprocessed."""
    preprocessed = subprocess.run([*command, '-E', '-P'], cwd=directory,
                                  capture_output=True, check=False)
    if preprocessed.returncode != 0:
        return None
    digest = hashlib.sha256(environment)
    flags = [word for word in command if word.startswith('-')
             and not word.startswith('-I')]
    digest.update(' '.join(flags).encode())
    # Assertions contain the path of their file. Without the root, the digest is
    # the same in every checkout.
    digest.update(preprocessed.stdout.replace(str(ROOT).encode(), b''))
    # Comments can disable checks, but preprocessing removes them.
    digest.update(pathlib.Path(command[-1]).read_bytes())
    return digest.hexdigest()


def check(path, folder, commands, environment):
    """Returns the output of clang-tidy if the file fails, or None."""
    command = commands.get(str(path.resolve()))
    pass_file = None
    if command is not None:
        digest = digest_of(*command, environment)
        pass_file = CACHE / digest if digest else None
        if pass_file and pass_file.exists():
            return None
    run = subprocess.run(['clang-tidy', '--quiet', '-p', str(folder),
                          str(path)], capture_output=True, text=True,
                         check=False)
    if run.returncode != 0:
        return run.stdout + run.stderr
    if pass_file:
        CACHE.mkdir(parents=True, exist_ok=True)
        pass_file.touch()
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
        failures = [text for text in pool.map(
            lambda path: check(path, folder, commands, environment), paths)
            if text is not None]
    for text in failures:
        print(text, file=sys.stderr)
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main())
