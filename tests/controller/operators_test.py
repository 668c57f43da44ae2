#!/usr/bin/env python3
"""Operators' requests to processes under faults. Needs TURMERIC_BINARY_DIR."""
import hashlib
import json
import os
import pathlib
import subprocess
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'processes'))
import fleet as processes  # noqa: E402
import raw_http  # noqa: E402

DIGEST = hashlib.sha256(processes.OPERATOR_KEY.encode()).hexdigest()
PATH = '/turmericfront.v1.Operator/'


def account(name, weight):
    return {'account': {'name': name, 'weight': weight,
                        'budgets': [{'name': 'season'}]}}


class OperatorsTest(unittest.TestCase):
    def setUp(self):
        self.fleet = processes.Fleet()
        self.addCleanup(self.fleet.close)

    def start_controller(self, name):
        controller = self.fleet.start_controller(
            name, operators={'key_digests': [DIGEST]}, lease_s=3)
        processes.wait_until(
            f'{name} is ready',
            lambda: processes.call(controller.address, 'GET',
                                   '/readyz')[0] == 200)
        return controller

    def apply(self, *declarations, base=0, controller=None):
        return self.fleet.operate(
            'Apply', {'declarations': list(declarations),
                      'base_version': base}, controller)

    def router_versions(self):
        status, reply = self.fleet.operate('GetStatus', {})
        self.assertEqual(status, 200)
        return [int(row['configuration_version'])
                for row in reply['routers'] if row['state'] == 'live']

    def wait_for_version(self, version, count):
        processes.wait_until(
            f'{count} routers have version {version}',
            lambda: self.router_versions() == [version] * count)

    def is_leading(self, controller):
        text = processes.call(controller.address, 'GET', '/metrics')[2]
        return 'turmeric_leading{duty="budgets"} 1' in text

    def control(self, *arguments, controllers):
        return subprocess.run(
            [str(processes.BINARIES / 'turmericctl'), '--controllers',
             ','.join(controllers), *arguments],
            env={**os.environ,
                 'TURMERIC_OPERATOR_KEY': processes.OPERATOR_KEY},
            capture_output=True, text=True, timeout=processes.TIMEOUT_S)

    def test_a_version_takes_effect_while_watches_deliver_nothing(self):
        self.start_controller('c1')
        for name in ('r1', 'r2'):
            self.fleet.start_router(name)
        self.assertEqual(self.apply(account('a', 1))[0], 200)
        self.wait_for_version(1, 2)
        self.fleet.key_value.set_faults(silent_watches=True)
        self.assertEqual(self.apply(account('a', 2))[0], 200)
        self.wait_for_version(2, 2)

    def test_one_of_concurrent_changes_succeeds_and_the_others_conflict(self):
        self.start_controller('c1')
        self.start_controller('c2')
        self.assertEqual(self.apply(account('a', 1))[0], 200)
        joins = [processes.in_background(
            self.apply, account('a', weight), base=1,
            controller=self.fleet.controllers[weight % 2])
            for weight in range(2, 10)]
        replies = [join() for join in joins]
        accepted = [reply for status, reply in replies if status == 200]
        self.assertEqual(len(accepted), 1)
        for status, reply in replies:
            if status != 200:
                self.assertEqual((status, reply['code']), (409, 6001))
                self.assertIn('in_force', reply['conflicts'][0])
                self.assertIn('wanted', reply['conflicts'][0])

    def test_concurrent_changes_of_different_objects_merge(self):
        self.start_controller('c1')
        self.start_controller('c2')
        self.assertEqual(self.apply(account('a', 1))[0], 200)
        joins = [processes.in_background(
            self.apply, account(f'b{number}', 1), base=1,
            controller=self.fleet.controllers[number % 2])
            for number in range(6)]
        self.assertEqual([join()[0] for join in joins], [200] * 6)
        exported = self.fleet.operate('Export', {})[1]
        self.assertEqual(exported['version'], '7')
        self.assertEqual(len(exported['declarations']), 7)

    def test_a_write_whose_reply_is_lost_takes_effect_once(self):
        self.start_controller('c1')
        for dropped in (1, 2, 3):
            self.fleet.key_value.set_faults(drop_reply_after_effect=dropped)
            status, reply = self.apply(account('a', dropped))
            self.assertEqual((status, reply['version']), (200, str(dropped)))
        self.fleet.key_value.set_faults(drop_reply_after_effect=1)
        status, reply = self.fleet.operate(
            'TopUp', {'account': 'a', 'budget': 'season', 'id': 'one',
                      'tokens': 40})
        self.assertEqual(status, 200)
        self.assertEqual(reply['balance']['topped_up'], '40')

    def test_a_suspended_leader_does_not_lead_after_it_resumes(self):
        first = self.start_controller('c1')
        processes.wait_until('c1 leads', lambda: self.is_leading(first))
        second = self.start_controller('c2')
        self.assertFalse(self.is_leading(second))
        first.pause()
        processes.wait_until('c2 leads', lambda: self.is_leading(second))
        first.resume()
        self.assertFalse(self.is_leading(first))
        self.assertTrue(self.is_leading(second))

    def test_the_leader_starts_a_declared_move(self):
        self.start_controller('c1')
        upstream = {'name': 'e1', 'address': '127.0.0.1:1',
                    'data_centre': 'dc1', 'versions': ['v1', 'v2'],
                    'capacity': 4}
        versions = [{'version': 'v1', 'parts_per_million': 1000000}]
        move = {'route': 'chat', 'from_version': 'v1', 'to_version': 'v2',
                'start': '2026-01-01T00:00:00Z',
                'deadline': '2036-01-01T00:00:00Z'}
        status, reply = self.apply(
            {'route': {'name': 'chat', 'versions': versions}},
            {'upstream': upstream}, {'move': move})
        self.assertEqual(status, 200, reply)

        def phase():
            return self.fleet.operate('ListMoves', {})[1]['moves'][0]['phase']
        processes.wait_until('the move has started', phase)

    def test_turmericctl_takes_no_broken_response_for_a_reply(self):
        for head in (b'HTTP/1.1 000 OK\r\n', b'HTTP/1.1 600 OK\r\n',
                     b'HTTP/1.1 200 OK\r\nX-Fi eld: v\r\n'):
            broken = raw_http.RawUpstream()
            self.addCleanup(broken.close)
            broken.default_answer = lambda _: raw_http.Answer(
                (head + b'Content-Length: 2\r\n\r\n{}',))
            self.assertNotEqual(
                self.control('status', controllers=[broken.address]
                             ).returncode, 0)
            self.assertGreater(len(broken.requests), 0)

    def test_turmericctl_uses_the_next_controller_after_a_failure(self):
        first = self.start_controller('c1')
        second = self.start_controller('c2')
        folder = self.fleet.folder / 'declarations'
        folder.mkdir()
        (folder / 'a.json').write_text(
            json.dumps({'kind': 'account', 'name': 'a'}), encoding='utf-8')
        controllers = [first.address, second.address]
        first.kill()
        applied = self.control('apply', '-f', str(folder),
                            controllers=controllers)
        self.assertEqual(applied.returncode, 0, applied.stderr)
        self.assertIn('added    account/a', applied.stdout)
        second.kill()
        unreachable = self.control('status', controllers=controllers)
        self.assertEqual(unreachable.returncode, 6, unreachable.stderr)

    def test_a_router_that_starts_in_an_outage_reads_from_its_peers(self):
        self.start_controller('c1')
        first = self.fleet.start_router('r1')
        self.assertEqual(self.apply(account('a', 1))[0], 200)
        self.wait_for_version(1, 1)
        status, _, text = processes.call(
            self.fleet.vm_list.address, 'PUT', '/vms',
            [{'targets': [first.ready['peer_address']],
              'labels': {'vm': 'vm-r1', 'data_centre': 'dc1',
                         'state': 'live'}}])
        self.assertEqual(status, 200, text)
        self.fleet.key_value.set_faults(outage=True)
        second = self.fleet.start_router('r2')
        processes.wait_until(
            'r2 has version 1',
            lambda: 'name=configuration_in_force' in second.log_text())


if __name__ == '__main__':
    unittest.main()
