#!/usr/bin/env python3
"""Measures the latency, CPU time and memory that a router adds to direct calls
of the same stand-in engine."""
import argparse
import json
import os
import pathlib
import subprocess
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / 'tests' / 'processes'))
import fleet as fleets  # noqa: E402
import support  # noqa: E402

TOKENS = 100
TICKS = os.sysconf('SC_CLK_TCK')


def cpu_seconds(process):
    fields = pathlib.Path(f'/proc/{process.popen.pid}/stat').read_text()
    user, system = fields.rsplit(')', 1)[1].split()[11:13]
    return (int(user) + int(system)) / TICKS


def resident_kib(process):
    status = pathlib.Path(f'/proc/{process.popen.pid}/status').read_text()
    return int(status.split('VmRSS:')[1].split()[0])


def thread_count(process):
    status = pathlib.Path(f'/proc/{process.popen.pid}/status').read_text()
    return int(status.split('Threads:')[1].split()[0])


def load(target, *options):
    done = subprocess.run(
        [str(fleets.BINARIES / 'turmeric_load'), '--target', target, '--json',
         '--tokens', str(TOKENS), *options],
        capture_output=True, text=True, check=False)
    return json.loads(done.stdout)


class PeakSampler(threading.Thread):
    """Samples the memory and threads of a process until `is_done` is set, and
    keeps the maxima."""

    def __init__(self, process):
        super().__init__()
        self.process = process
        self.max_kib = 0
        self.max_threads = 0
        self.is_done = threading.Event()

    def run(self):
        while not self.is_done.wait(0.05):
            self.max_kib = max(self.max_kib, resident_kib(self.process))
            self.max_threads = max(self.max_threads,
                                   thread_count(self.process))


def measure(streams, rounds):
    fleet = fleets.Fleet()
    try:
        engine = fleet.start_engine(
            'engine', '--versions', 'v1', '--capacity', '1200', '--threads',
            '2400', '--step-us', '20000', '--step-per-request-us', '0')
        fleet.start_controller('controller', operators={
            'key_digests': [support.digest(fleets.OPERATOR_KEY)]})
        router = fleet.start_router('router', limits={'connections': 1300})
        fleet.operate('Apply', {'operation': 'set-up', 'declarations': [
            support.account(), support.route(),
            support.upstream('engine', engine.address, ('v1',), 1200)]})
        fleet.operate('TopUp', {'account': support.ACCOUNT,
                                'budget': support.BUDGET, 'id': 'set-up',
                                'tokens': str(10 ** 12)})
        fleet.wait_ready(router)
        load(router.address, '--route', 'ruling', '--key', support.KEY,
             '--concurrency', str(streams), '--requests', str(streams),
             '--seed', '99')
        requests = str(streams * rounds)
        common = ['--concurrency', str(streams), '--requests', requests]
        direct = load(engine.address, '--direct', '--route', 'v1',
                      '--seed', '1', *common)
        idle_kib = resident_kib(router)
        before = cpu_seconds(router)
        peak = PeakSampler(router)
        peak.start()
        started = time.monotonic()
        routed = load(router.address, '--route', 'ruling', '--key',
                      support.KEY, '--seed', '2', *common)
        elapsed = time.monotonic() - started
        peak.is_done.set()
        peak.join()
        used = cpu_seconds(router) - before
        return {'streams': streams, 'direct': direct, 'routed': routed,
                'elapsed_s': round(elapsed, 2), 'router_cpu_s': used,
                'router_cpu_ms_per_1000_tokens':
                    1e6 * used / (streams * rounds * TOKENS),
                'router_idle_kib': idle_kib, 'router_peak_kib': peak.max_kib,
                'router_peak_threads': peak.max_threads,
                'kib_per_stream': (peak.max_kib - idle_kib) / streams}
    finally:
        fleet.close()


def row(result):
    direct = result['direct']['time_to_first_token']
    routed = result['routed']['time_to_first_token']
    added = [routed[name] - direct[name]
             for name in ('p50_ms', 'p95_ms', 'p99_ms')]
    target = max(2.0, 0.05 * direct['p95_ms'])
    failed = {kind: count
              for kind, count in result['routed']['requests'].items()
              if kind != 'whole' and count}
    return (f"| {result['streams']} | {direct['p50_ms']:.1f} / "
            f"{direct['p95_ms']:.1f} / {direct['p99_ms']:.1f} | "
            f"{added[0]:.1f} / {added[1]:.1f} / {added[2]:.1f} | "
            f"{target:.1f} | {'met' if added[1] <= target else 'MISSED'} | "
            f"{result['router_cpu_ms_per_1000_tokens']:.1f} | "
            f"{result['kib_per_stream']:.0f} | {failed or 'none'} |")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--streams', type=int, nargs='+', default=[200, 1000])
    parser.add_argument('--rounds', type=int, default=5)
    parser.add_argument('--page', help='page to write the table to')
    options = parser.parse_args()
    results = [measure(streams, options.rounds)
               for streams in options.streams]
    print(json.dumps(results, indent=1))
    rows = '\n'.join(row(result) for result in results)
    print(rows)
    if options.page:
        path = pathlib.Path(options.page)
        head = path.read_text().split('<!-- table -->')[0]
        path.write_text(f'{head}<!-- table -->\n{HEADER}\n{rows}\n')


HEADER = (
    '\n| streams | direct, first token p50/p95/p99 ms | added p50/p95/p99 ms |'
    ' target at p95 ms | | router CPU ms per 1,000 tokens |'
    ' KiB per stream | not whole |\n| --- | --- | --- | --- | --- | --- | --- |'
    ' --- |')

if __name__ == '__main__':
    main()
