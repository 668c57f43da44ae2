#!/usr/bin/env python3
"""Measures the resources that the control plane uses in a router: by the size
of a fleet of real processes, and by the size of the configuration with one
router process."""
import argparse
import datetime
import json
import os
import pathlib
import re
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / 'tests' / 'processes'))
import fleet as fleets  # noqa: E402
import support  # noqa: E402

TICKS = os.sysconf('SC_CLK_TCK')
APPLY_BATCH = 500


def cpu_seconds(process):
    fields = pathlib.Path(f'/proc/{process.popen.pid}/stat').read_text()
    user, system = fields.rsplit(')', 1)[1].split()[11:13]
    return (int(user) + int(system)) / TICKS


def resident_mib(process):
    status = pathlib.Path(f'/proc/{process.popen.pid}/status').read_text()
    return int(status.split('VmRSS:')[1].split()[0]) / 1024


def loopback_bytes():
    for line in pathlib.Path('/proc/net/dev').read_text().splitlines():
        if line.strip().startswith('lo:'):
            return int(line.split(':')[1].split()[0])
    return 0


def platform_state(fleet):
    counts = fleet.key_value.counts()
    calls = counts['calls']
    return {'reads': calls.get('range', 0),
            'writes': calls.get('txn', 0) + calls.get('lease_keepalive', 0)
            + calls.get('lease_grant', 0),
            'watches': calls.get('watch', 0),
            'waiting': counts['waiting_watches'],
            'bytes': counts['bytes_in'] + counts['bytes_out']}


def observe(fleet, routers, seconds):
    """Measures the resource use of an idle fleet over `seconds`."""
    before = platform_state(fleet)
    cpu = [cpu_seconds(router) for router in routers]
    loopback = loopback_bytes()
    started = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started
    after = platform_state(fleet)
    used = [cpu_seconds(router) - first
            for router, first in zip(routers, cpu)]
    count = len(routers)
    platform_bytes = after['bytes'] - before['bytes']
    return {
        'core_percent_mean': 100 * sum(used) / count / elapsed,
        'core_percent_most': 100 * max(used) / elapsed,
        'mib_mean': sum(resident_mib(router) for router in routers) / count,
        'platform_reads_per_s': (after['reads'] - before['reads']) / elapsed,
        'platform_writes_per_s': (after['writes'] - before['writes']) / elapsed,
        'watches_started_per_s':
            (after['watches'] - before['watches']) / elapsed,
        'waiting_watches': after['waiting'],
        # Each byte crosses the loopback device once. What remains after
        # subtracting the platform's bytes is traffic between peers, which
        # counts twice: as sent and as received.
        'platform_kb_per_s_each': platform_bytes / 1000 / elapsed / count,
        'peer_kb_per_s_each':
            2 * (loopback_bytes() - loopback - platform_bytes) / 1000
            / elapsed / count}


def start_base(fleet):
    fleet.start_controller('controller', operators={
        'key_digests': [support.digest(fleets.OPERATOR_KEY)]})


def apply(fleet, declarations, name):
    status, reply = fleet.operate(
        'Apply', {'declarations': declarations, 'operation': name})
    assert status == 200, reply
    return reply


def event_times(router, version):
    """Returns when a version came into force by the router's log, or None."""
    pattern = re.compile(
        rf'time=(\S+)Z .*event=601 .*version={version}$', re.M)
    found = pattern.search(router.log_text())
    return datetime.datetime.fromisoformat(found.group(1)) if found else None


def time_in_force(fleet, routers, number):
    """Returns the seconds from the acceptance of a change until it is in force
    at the last router."""
    reply = apply(
        fleet,
        [support.account(f'late-{number}', f'late-key-{number}')],
        f'late-{number}')
    accepted = datetime.datetime.utcnow()
    version = reply['version']

    def all_times():
        times = [event_times(router, version) for router in routers]
        return times if all(times) else None
    times = fleets.wait_until('the change is in force', all_times)
    return max(0.0, (max(times) - accepted).total_seconds())


def measure_fleet(count, seconds):
    fleet = fleets.Fleet()
    try:
        start_base(fleet)
        apply(fleet, [support.account(), support.route(),
                      *(support.upstream(f'e{number}', f'127.0.0.1:{number}',
                                         ('v1',), 40)
                        for number in range(1, 1 + max(9, count * 8 // 3)))],
              'set-up')
        routers = [fleet.start_router(f'r{number}', lease_s=30,
                                      data_centre=f'dc{number % 5}',
                                      limits={'leave_ms': 0})
                   for number in range(count)]
        joined = time.monotonic()
        for router in routers:
            fleet.wait_ready(router)
        ready = time.monotonic() - joined
        time.sleep(min(30, 5 + count / 10))
        cost = observe(fleet, routers, seconds)
        in_force = [time_in_force(fleet, routers, number)
                    for number in range(5)]
        return {'routers': count, 'ready_s': ready, **cost,
                'in_force_s_most': max(in_force)}
    finally:
        for router in fleet.routers:
            router.popen.kill()
        fleet.close()


def declare_accounts(count):
    budgets_per_account = 13000 / 5700
    declared, budget_count = [], 0
    for number in range(count):
        row = support.account(f'account-{number}', f'key-{number}')
        added = int((number + 1) * budgets_per_account) - budget_count
        budget_count += added
        row['account']['budgets'] = [{'name': f'b{index}'}
                                     for index in range(added)]
        declared.append(row)
    return declared


def measure_configuration(accounts, upstreams, seconds):
    fleet = fleets.Fleet()
    try:
        start_base(fleet)
        declared = [support.route(), *declare_accounts(accounts),
                    *(support.upstream(f'e{number}', f'127.0.0.1:{number}',
                                       ('v1',), 40)
                      for number in range(1, 1 + upstreams))]
        for start in range(0, len(declared), APPLY_BATCH):
            apply(fleet, declared[start:start + APPLY_BATCH], f'part-{start}')
        router = fleet.start_router('r0', lease_s=30)
        fleet.wait_ready(router)
        time.sleep(3)
        before = cpu_seconds(router)
        changes = 5
        in_force = [time_in_force(fleet, [router], number)
                    for number in range(changes)]
        change_cpu = (cpu_seconds(router) - before) / changes
        return {'accounts': accounts, 'upstreams': upstreams,
                **observe(fleet, [router], seconds),
                'cpu_ms_per_change': 1000 * change_cpu,
                'in_force_s_most': max(in_force)}
    finally:
        fleet.close()


def table(rows, columns):
    head = '| ' + ' | '.join(title for title, _, _ in columns) + ' |'
    rule = '|' + ' --- |' * len(columns)
    body = ['| ' + ' | '.join(cell_format.format(row[key])
                              for _, key, cell_format in columns) + ' |'
            for row in rows]
    return '\n'.join([head, rule, *body])


COST = [('core %', 'core_percent_mean', '{:.2f}'),
        ('core % most', 'core_percent_most', '{:.2f}'),
        ('MiB', 'mib_mean', '{:.1f}'),
        ('peer KB/s', 'peer_kb_per_s_each', '{:.1f}'),
        ('platform KB/s', 'platform_kb_per_s_each', '{:.2f}'),
        ('reads/s, fleet', 'platform_reads_per_s', '{:.1f}'),
        ('writes/s, fleet', 'platform_writes_per_s', '{:.1f}'),
        ('waiting watches', 'waiting_watches', '{}'),
        ('in force, most s', 'in_force_s_most', '{:.2f}')]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--routers', type=int, nargs='*',
                        default=[6, 50, 100, 200])
    parser.add_argument('--accounts', type=int, nargs='*',
                        default=[10, 570, 2000, 5700])
    parser.add_argument('--upstreams', type=int, nargs='*',
                        default=[9, 90, 300, 880])
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--page', help='page to write the tables to')
    options = parser.parse_args()
    fleet = [measure_fleet(count, options.seconds)
             for count in options.routers]
    accounts = [measure_configuration(count, 9, options.seconds / 2)
                for count in options.accounts]
    upstreams = [measure_configuration(10, count, options.seconds / 2)
                 for count in options.upstreams]
    print(json.dumps({'fleet': fleet, 'accounts': accounts,
                      'upstreams': upstreams}, indent=1))
    change = [('ms CPU a change', 'cpu_ms_per_change', '{:.1f}')]
    text = '\n\n'.join([
        '## Against the number of routers',
        table(fleet, [('routers', 'routers', '{}'),
                      ('all ready, s', 'ready_s', '{:.1f}'), *COST]),
        '## Against client accounts (2.3 budgets each)',
        table(accounts, [('accounts', 'accounts', '{}'), *COST, *change]),
        '## Against upstreams',
        table(upstreams, [('upstreams', 'upstreams', '{}'), *COST, *change])])
    print(text)
    if options.page:
        path = pathlib.Path(options.page)
        head = path.read_text().split('<!-- tables -->')[0]
        path.write_text(f'{head}<!-- tables -->\n\n{text}\n')


if __name__ == '__main__':
    main()
