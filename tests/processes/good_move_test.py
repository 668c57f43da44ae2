"""Moves a good version with real processes: it must finish in time."""
import unittest

import fleet as fleets
import moves_test


class GoodMoveTest(moves_test.MovesTest):
    """A move to a good version."""

    test_a_bad_version_is_rolled_back = None
    test_routers_cut_off_a_bad_version_without_a_controller = None

    def test_a_good_version_takes_all_traffic_on_time(self):
        self.start_move()
        fleets.wait_until('the move is finished',
                          lambda: self.phase() == 'finished',
                          moves_test.MOVE_TIMEOUT_S)
        before = self.served('v1')
        served = self.served('v2')
        fleets.wait_until('requests continue',
                          lambda: self.served('v2') > served + 100)
        self.assertEqual(self.served('v1'), before)


# The test cases of the base class run in moves_test.py.
def load_tests(loader, _tests, _pattern):
    return loader.loadTestsFromTestCase(GoodMoveTest)


if __name__ == '__main__':
    unittest.main()
