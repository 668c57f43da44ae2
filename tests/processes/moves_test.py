"""Version moves with real processes: bad versions are rolled back."""
import datetime
import json
import threading
import unittest

import fleet as fleets
import support

# Orders to load a version are spread over time to limit the load on the weight
# store, which delays moves.
MOVE_TIMEOUT_S = 150.0


def time_after(seconds):
    """Returns the time `seconds` from now in the format of declarations."""
    now = datetime.datetime.now(datetime.timezone.utc)
    return (now + datetime.timedelta(seconds=seconds)).strftime(
        '%Y-%m-%dT%H:%M:%SZ')


class MovesTest(support.FleetTest):
    """Callers send requests all the time while a route's version moves."""

    engine_options = ('--step-us', '500', '--prefill-us-per-token', '1')
    top_up = 10 ** 9

    def setUp(self):
        super().setUp()
        self.is_done = threading.Event()
        self.callers = [threading.Thread(target=self.send_requests,
                                         args=(number,))
                        for number in range(6)]
        for caller in self.callers:
            caller.start()

    def tearDown(self):
        self.is_done.set()
        for caller in self.callers:
            caller.join()

    def send_requests(self, caller):
        number = 0
        while not self.is_done.is_set():
            number += 1
            self.chat(self.router[number % 2], tokens=3,
                      request_id=f'caller-{caller}-{number}')

    def start_move(self):
        self.apply([{'move': {
            'route': 'ruling', 'fromVersion': 'v1', 'toVersion': 'v2',
            'start': time_after(0), 'deadline': time_after(40),
            'soakS': '2'}}], 'move')

    def phase(self):
        moves = self.fleet.operate('ListMoves', {})[1].get('moves', [])
        return moves[0].get('phase', '') if moves else ''

    def served(self, version):
        return sum(engine.counts()['requests_by_version'].get(version, 0)
                   for engine in self.engine)

    def test_a_bad_version_is_rolled_back(self):
        for engine in self.engine:
            engine.set_faults(per_version={'v2': {'fail_percent': 100}})
        self.start_move()
        # The move stays in taking_back while its last requests may still run.
        fleets.wait_until('the move is rolled back', lambda: self.phase()
                          in ('taking_back', 'taken_back'), MOVE_TIMEOUT_S)
        bad = self.served('v2')
        good = self.served('v1')
        fleets.wait_until('requests continue',
                          lambda: self.served('v1') > good + 300)
        self.assertEqual(self.served('v2'), bad)
        self.assertLess(bad, 200)

    def test_routers_cut_off_a_bad_version_without_a_controller(self):
        self.start_move()
        fleets.wait_until('the new version receives traffic',
                          lambda: self.served('v2') > 0, MOVE_TIMEOUT_S)
        self.fleet.controllers[0].kill()
        for engine in self.engine:
            engine.set_faults(per_version={'v2': {'fail_percent': 100}})
        fleets.wait_until(
            'both routers cut off the new version',
            lambda: all('event=405' in router.log_text()
                        for router in self.router))
        # Requests dispatched before the cut may still be in flight.
        self.is_done.set()
        for caller in self.callers:
            caller.join()
        bad = self.served('v2')
        for number in range(100):
            self.chat(self.router[number % 2], tokens=1,
                      request_id=f'after-{number}')
        self.assertEqual(self.served('v2'), bad)


if __name__ == '__main__':
    unittest.main()
