#!/usr/bin/env python3
"""Runs bench_moves for each policy and traffic, and rewrites the table in
docs/bench-moves.md: sweep.py [BUILD_FOLDER [ROUNDS]]."""
import concurrent.futures
import json
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PAGE = ROOT / 'docs' / 'bench-moves.md'
BEGIN, END = '<!-- table begin -->', '<!-- table end -->'
JOBS = 2
FIELDS = [('good_on_time_percent', '≥ 99.5'),
          ('bad_taken_back_percent', '100'),
          ('bad_exposure_percent', '≤ 0.5'),
          ('after_evidence_requests', '0'),
          ('after_evidence_leaderless_requests', ''),
          ('false_take_back_percent', '≤ 0.5')]
KINDS = ['bad_at_once', 'bad_later', 'bad_in_soak', 'bad_under_load']


def run(case):
    program, traffic, policy, rounds = case
    output = subprocess.run(
        [program, '--traffic', traffic, '--policy', policy,
         '--rounds', str(rounds)],
        check=True, capture_output=True, text=True).stdout
    return json.loads(output)


def row(cells):
    return '| ' + ' | '.join(cells) + ' |'


def format_figure(value):
    return f'{value:.3f}' if isinstance(value, float) else str(value)


def table(results):
    yield row(['traffic', 'policy', 'good moves', 'bad moves'] +
              [f'`{name}`' for name, _ in FIELDS])
    yield row(['---'] * (4 + len(FIELDS)))
    yield row(['target', '', '', ''] + [target for _, target in FIELDS])
    for result in results:
        yield row([result['traffic'], result['policy'],
                   str(result['good_moves']), str(result['bad_moves'])] +
                  [format_figure(result[name]) for name, _ in FIELDS])
    yield ''
    yield 'Exposure by kind, in percent of the requests of such moves:'
    yield ''
    yield row(['traffic', 'policy'] + [f'`{kind}`' for kind in KINDS])
    yield row(['---'] * (2 + len(KINDS)))
    for result in results:
        yield row([result['traffic'], result['policy']] +
                  [format_figure(result['kinds'][kind]['exposure_percent'])
                   for kind in KINDS])


def main():
    folder = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else 'build')
    rounds = int(sys.argv[2]) if len(sys.argv) > 2 else 20
    program = str((ROOT / folder / 'bench_moves').resolve())
    cases = [(program, traffic, policy, rounds)
             for traffic in ('users', 'letter')
             for policy in ('sequential', 'threshold', 'schedule')]
    with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
        results = list(pool.map(run, cases))
    text = PAGE.read_text()
    head, rest = text.split(BEGIN)
    _, tail = rest.split(END)
    PAGE.write_text(head + BEGIN + '\n' + '\n'.join(table(results)) +
                    '\n' + END + tail)


if __name__ == '__main__':
    main()
