#!/usr/bin/env python3
"""Measures the memory and threads that slow readers use in a router, and their
effect on the latency of other callers."""
import argparse
import json
import pathlib
import socket
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / 'tests' / 'processes'))
sys.path.insert(0, str(ROOT / 'bench' / 'router_cost'))
import fleet as fleets  # noqa: E402
import support  # noqa: E402
from measure import resident_kib, thread_count  # noqa: E402

SLOW_TOKENS = 2000


def load(target, *options):
    return subprocess.Popen(
        [str(fleets.BINARIES / 'turmeric_load'), '--target', target,
         '--route', 'ruling', '--key', support.KEY, '--json', *options],
        stdout=subprocess.PIPE, text=True)


def load_from_other_callers(router, seed):
    done = load(router.address, '--concurrency', '20', '--requests', '400',
                '--tokens', '20', '--seed', seed)
    return json.loads(done.communicate()[0])


def thread_cost_kib(router, count):
    """Returns the memory per connection thread in KiB, measured with callers
    that request only the health of the router and stay connected."""
    idle_kib = resident_kib(router)
    host, port = router.address.split(':')
    callers = []
    for _ in range(count):
        caller = socket.create_connection((host, int(port)))
        caller.sendall(b'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n')
        callers.append(caller)
    for caller in callers:
        caller.recv(4096)
    cost = (resident_kib(router) - idle_kib) / count
    for caller in callers:
        caller.close()
    return cost


def measure(readers):
    fleet = fleets.Fleet()
    try:
        engine = fleet.start_engine(
            'engine', '--capacity', '2400', '--threads', '4800',
            '--step-us', '2000', '--step-per-request-us', '0')
        fleet.start_controller('controller', operators={
            'key_digests': [support.digest(fleets.OPERATOR_KEY)]})
        router = fleet.start_router(
            'router', limits={'connections': readers * 2 + 200})
        fleet.operate('Apply', {'operation': 'set-up', 'declarations': [
            support.account(), support.route(),
            support.upstream('engine', engine.address, ('v1',), 2400)]})
        fleet.operate('TopUp', {'account': support.ACCOUNT,
                                'budget': support.BUDGET, 'id': 'set-up',
                                'tokens': str(10 ** 12)})
        fleet.wait_ready(router)
        thread_kib = thread_cost_kib(router, readers)
        # Idle threads end within this time, which frees their stacks.
        time.sleep(15)
        load_from_other_callers(router, '1')
        alone = load_from_other_callers(router, '2')
        idle_kib = resident_kib(router)
        idle_threads = thread_count(router)
        slow = load(router.address, '--concurrency', str(readers),
                    '--requests', str(readers), '--tokens', str(SLOW_TOKENS),
                    '--read-bytes-per-second', '2000', '--seed', '3')
        time.sleep(20)
        slow_kib = resident_kib(router)
        slow_threads = thread_count(router)
        beside = load_from_other_callers(router, '4')
        slow.kill()
        slow.wait()
        first = 'time_to_first_token'
        return {'readers': readers, 'kib_per_thread': thread_kib,
                'kib_per_reader': (slow_kib - idle_kib) / readers,
                'threads_per_reader': (slow_threads - idle_threads) / readers,
                'p95_alone_ms': alone[first]['p95_ms'],
                'p95_beside_ms': beside[first]['p95_ms'],
                'ratio': beside[first]['p95_ms'] / alone[first]['p95_ms'],
                'others_whole': beside['requests']['whole']}
    finally:
        fleet.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--readers', type=int, default=1000)
    parser.add_argument('--page', help='page to write the table to')
    options = parser.parse_args()
    found = measure(options.readers)
    print(json.dumps(found, indent=1))
    rows = ('\n| slow readers | KiB per reader, its threads included | KiB of a'
            ' thread alone | threads per reader | others, first token p95'
            ' alone / beside, ms | ratio |'
            ' others whole |\n| --- | --- | --- | --- | --- | --- | --- |\n'
            f"| {found['readers']} | {found['kib_per_reader']:.1f} | "
            f"{found['kib_per_thread']:.1f} | "
            f"{found['threads_per_reader']:.2f} | "
            f"{found['p95_alone_ms']:.1f} / {found['p95_beside_ms']:.1f} | "
            f"{found['ratio']:.2f} | {found['others_whole']} of 400 |")
    print(rows)
    if options.page:
        path = pathlib.Path(options.page)
        head = path.read_text().split('<!-- table -->')[0]
        path.write_text(f'{head}<!-- table -->\n{rows}\n')


if __name__ == '__main__':
    main()
