#!/usr/bin/env python3
"""Runs bench_budget for each policy, size and fault, and writes the page.

    bench/budget/sweep.py [FOLDER [JOBS]]

FOLDER is the build folder, JOBS the number of runs at a time. Writes
docs/bench-budget.md and docs/bench-budget.svg.
"""
import concurrent.futures
import json
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
POLICIES = ['escrow', 'write_per_request', 'fixed_split', 'sole_owner',
            'expiry_only', 'transfers']
FAULTS = ['none', 'crash', 'pause', 'outage', 'lost_replies',
          'top_up_partition', 'chaos']
HORIZONS = [10, 60, 300, 1200, 4500]
PARTITION = {'faults': 'partition', 'duration': 3960, 'tick': 50, 'rate': 6}
LOW_5 = {'budget-left': 5, 'duration': 240}
LOW_1 = {'budget-left': 1, 'duration': 60}
SIZES = [(6, 10), (6, 1000), (30, 1000), (100, 1000), (330, 1000),
         (330, 10), (6, 13000), (100, 13000), (330, 13000)]
SAFETY = ['overspend_tokens', 'double_billed', 'delivered_unbilled']
INTRO = """# Budgets under load and faults

Written by `bench/budget/sweep.py build 2`, which runs `bench_budget` on a
manual clock: the decision objects against the in-memory store, without a
network, each platform call taking 5 ms. One seed (1) a row; the same options
give the same figures. A refusal is false when a ledger that knows every hold
at once would have admitted the request; its tokens then count as used.
Stranded is the idle part of grants in the tokens that are left. Spendable is
what the cut-off half of the routers admitted in an hour's partition from the
platform, in the smaller of its demand and its share of the tokens left.
`transfers` is an upper bound for transfers between peers: all routers of a
side share one ledger. Where a bill waits 500 ms for the platform, the run
delivers the answer on the strength of a copy in a peer's memory.
`fixed_split` starts from equal parts and is bound by the same recall as the
others, so its false refusals are those of a split that moves when a need is
unmet; a split that never moves was not measured. The spendable part passes
100% where the cut-off side used more than its even share.
"""


def options_of(settings):
    return [part for key, value in settings.items()
            for part in (f'--{key}', str(value))]


def run(folder, settings):
    command = [str(ROOT / folder / 'bench_budget'), *options_of(settings)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return json.loads(done.stdout)


def plan():
    runs = {}
    for policy in POLICIES:
        runs['left 5%', policy] = {'policy': policy, **LOW_5}
        runs['left 1%', policy] = {'policy': policy, **LOW_1}
        runs['partition', policy] = {'policy': policy, **PARTITION}
    for horizon in HORIZONS:
        runs['horizon low', horizon] = {'horizon': horizon, **LOW_5}
        runs['horizon cut', horizon] = {'horizon': horizon, **PARTITION}
    for fault in FAULTS:
        long_run = {'duration': 600} if fault == 'top_up_partition' else {}
        runs['fault', fault] = {'faults': fault, **long_run}
    for routers, accounts in SIZES:
        runs['size', (routers, accounts)] = {
            'routers': routers, 'accounts': accounts,
            'rate': round(4000 * routers / 330), 'duration': 20,
            'routers-per-account': 6, 'commit-interval': 250}
    runs['size', 'direct'] = {
        'routers': 330, 'accounts': 13000, 'rate': 4000, 'duration': 20,
        'routers-per-account': 6, 'commit': 'direct', 'commit-interval': 250}
    return runs


def table(head, rows):
    lines = ['| ' + ' | '.join(head) + ' |', '|' + ' --- |' * len(head)]
    lines += ['| ' + ' | '.join(str(cell) for cell in row) + ' |'
              for row in rows]
    return '\n'.join(lines) + '\n'


def format_figure(value):
    return f'{value:.3g}' if isinstance(value, float) else str(value)


def cells(figures, names):
    return [format_figure(figures[name]) for name in names]


def policy_section(figures):
    rows = []
    for policy in POLICIES:
        low_5, low_1 = figures['left 5%', policy], figures['left 1%', policy]
        cut = figures['partition', policy]
        unsafe = sum(run[name] for run in (low_5, low_1, cut)
                     for name in SAFETY)
        rows.append([policy, unsafe,
                     format_figure(low_5['false_refusals_percent']),
                     format_figure(low_1['false_refusals_percent']),
                     format_figure(cut['spendable_percent']),
                     format_figure(low_5['stranded_percent']),
                     format_figure(low_5['platform_writes_per_s']),
                     format_figure(low_5['admission_p95_ms']),
                     format_figure(low_5['durability_p50_ms']),
                     format_figure(low_5['durability_p95_ms'])])
    return '## Policies\n\n6 routers, 10 accounts, 60 requests a second, ' \
        'the busiest account sending 40%; the partition at 6 a second.\n\n' + \
        table(['policy', 'overspend + double + unbilled',
               'false refusals, 5% left, %', 'false refusals, 1% left, %',
               'spendable in a partition, %', 'stranded, %', 'writes/s',
               'admission p95, ms', 'last part p50, ms', 'last part p95, ms'],
              rows)


def fault_section(figures):
    names = SAFETY + ['billed_undelivered', 'undurable',
                      'false_refusals_percent', 'platform_writes_per_s',
                      'platform_reads_per_s', 'durability_p50_ms',
                      'durability_p95_ms']
    rows = [[fault] + cells(figures['fault', fault], names)
            for fault in FAULTS]
    return '\n## Faults, chosen policy\n\n' + table(['fault'] + names, rows)


def horizon_section(figures):
    rows = []
    for horizon in HORIZONS:
        low, cut = figures['horizon low', horizon], \
            figures['horizon cut', horizon]
        rows.append([horizon, format_figure(low['false_refusals_percent']),
                     format_figure(low['stranded_percent']),
                     format_figure(low['platform_writes_per_s']),
                     format_figure(cut['spendable_percent'])])
    return '\n## Size of a grant\n\nSeconds of its own spending that a ' \
        'router holds ahead.\n\n' + \
        table(['horizon, s', 'false refusals, 5% left, %', 'stranded, %',
               'writes/s', 'spendable in a partition, %'], rows) + \
        '\n![Size of a grant](bench-budget.svg)\n'


def size_section(figures):
    names = ['requests', 'false_refusals_percent', 'stranded_percent',
             'platform_writes_per_s', 'platform_reads_per_s',
             'platform_bytes_per_s', 'largest_value_bytes',
             'admission_p95_ms', 'durability_p50_ms', 'durability_p95_ms']
    rows = [[f'{size[0]} / {size[1]}'] + cells(figures['size', size], names)
            for size in SIZES]
    rows.append(['330 / 13000, each router for itself'] +
                cells(figures['size', 'direct'], names))
    return '\n## Routers and accounts, chosen policy\n\n12 requests a ' \
        'second for each router, callers of an account sent to 6 routers, ' \
        'one committer a shard with 250 ms between writes, 20 s.\n\n' + \
        table(['routers / accounts'] + names, rows)


def plot(figures):
    width, height, left, top = 640, 320, 60, 20
    step = (width - 2 * left) / (len(HORIZONS) - 1)
    series = [('spendable in a partition, %', 'horizon cut',
               'spendable_percent', '#1b6ca8'),
              ('stranded, %', 'horizon low', 'stranded_percent', '#c0392b')]
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
             f'height="{height}" font-family="sans-serif" font-size="12">',
             f'<rect width="{width}" height="{height}" fill="white"/>']

    def y_of(value):
        return top + (height - 80) * (1 - min(value, 105) / 105)
    for mark in (0, 25, 50, 75, 95, 100):
        parts.append(f'<line x1="{left}" x2="{width - left}" '
                     f'y1="{y_of(mark):.1f}" y2="{y_of(mark):.1f}" '
                     f'stroke="#ddd"/><text x="{left - 8}" '
                     f'y="{y_of(mark) + 4:.1f}" text-anchor="end">{mark}'
                     '</text>')
    for index, horizon in enumerate(HORIZONS):
        parts.append(f'<text x="{left + index * step:.1f}" '
                     f'y="{height - 42}" text-anchor="middle">{horizon} s'
                     '</text>')
    for row, (label, group, name, colour) in enumerate(series):
        points = ' '.join(
            f'{left + index * step:.1f},'
            f'{y_of(figures[group, horizon][name]):.1f}'
            for index, horizon in enumerate(HORIZONS))
        parts.append(f'<polyline points="{points}" fill="none" '
                     f'stroke="{colour}" stroke-width="2"/>'
                     f'<text x="{left + 240 * row}" y="{height - 14}" '
                     f'fill="{colour}">{label}</text>')
    return '\n'.join(parts + ['</svg>', ''])


def main():
    folder = sys.argv[1] if len(sys.argv) > 1 else 'build'
    jobs = int(sys.argv[2]) if len(sys.argv) > 2 else 2
    runs = plan()
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        results = pool.map(lambda item: run(folder, item), runs.values())
        figures = dict(zip(runs, results))
    page = INTRO + '\n' + policy_section(figures) + \
        fault_section(figures) + horizon_section(figures) + \
        size_section(figures)
    (ROOT / 'docs/bench-budget.md').write_text(page)
    (ROOT / 'docs/bench-budget.svg').write_text(plot(figures))


main()
