#!/usr/bin/env python3
"""Checks rules that the compiler does not: the includes of each layer, the
catalogues of result codes and log events, forbidden calls and notices."""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
FORBIDDEN_IN_DOMAIN = re.compile(
    r'#include\s*[<"](libraries/adapters|platform/|boost/asio|boost/beast'
    r'|httplib|nghttp2|thread|mutex|fstream'
    r'|sys/|netinet|google|unistd)')
FORBIDDEN_IN_MIDDLE = re.compile(
    r'#include\s*[<"](libraries/adapters|platform/|boost/asio|boost/beast'
    r'|httplib|nghttp2|sys/|netinet|google)')
# Names on the wire of the users' platform. Only platform/ and the stand-ins for
# the platform read and write them.
WIRE_NAMES = re.compile(
    r'"(X-(Prompt-Prefix|Token-Count|Server-Stamp|Not-Executed'
    r'|Expect-Instance|Request-Deadline|Length-Hint|Tenant)|Server-Limit'
    r'|op/|servers/|/api/(kv|resolve|ready|report))')
FORBIDDEN_CALLS = re.compile(
    r'(^|[^_a-z:.>])(fork|vfork|posix_spawn|system|popen|shm_[a-z]+'
    r'|io_uring_setup)\(')
FORBIDDEN_NOTICES = re.compile(r'Copyright|SPDX|TODO|FIXME')


def sources():
    for folder in ('libraries', 'platform', 'services', 'utilities',
                   'standins', 'bench'):
        for path in (ROOT / folder).rglob('*.[ch]pp'):
            yield path


def check_layers():
    for path in sources():
        relative = path.relative_to(ROOT).as_posix()
        for number, line in enumerate(path.read_text().splitlines(), 1):
            location = f'{relative}:{number}'
            is_inner = relative.startswith(
                ('libraries/domain/', 'libraries/ports/', 'libraries/core/'))
            if is_inner and FORBIDDEN_IN_DOMAIN.search(line):
                yield (f'{location}: domain, ports and core must not include '
                       'adapters')
            is_middle = relative.startswith(
                ('libraries/codecs/', 'libraries/drivers/'))
            if is_middle and FORBIDDEN_IN_MIDDLE.search(line):
                yield (f'{location}: codecs and drivers must not include '
                       'adapters')
            is_outside = not relative.startswith(('platform/', 'standins/'))
            if is_outside and WIRE_NAMES.search(line):
                yield (f'{location}: wire name of the platform outside '
                       'platform/ and standins/')
            if FORBIDDEN_CALLS.search(line):
                yield f'{location}: forbidden function call'
            if FORBIDDEN_NOTICES.search(line):
                yield f'{location}: licence notice or unfinished work marker'


def check_catalogue(header, page):
    declared = dict(re.findall(r'^\s+(\w+) = (\d+),',
                               (ROOT / header).read_text(), re.M))
    table = (ROOT / header.replace('.hpp', '.cpp')).read_text()
    listed = dict((name, number) for number, name in re.findall(
        r'^\| (\d+) \| `(\w+)`', (ROOT / page).read_text(), re.M))
    for name, number in declared.items():
        if listed.get(name) != number:
            yield f'{page}: {number} {name} is missing or has another number'
        if f'"{name}"' not in table:
            yield f'{header}: {name} has no row in its name table'
    for name in listed.keys() - declared.keys():
        yield f'{page}: {name} is not declared in {header}'


def main():
    violations = list(check_layers())
    violations += check_catalogue('libraries/core/result_code.hpp',
                                  'docs/result-codes.md')
    violations += check_catalogue('libraries/core/log_event.hpp',
                                  'docs/events.md')
    for violation in violations:
        print(violation)
    return 1 if violations else 0


sys.exit(main())
