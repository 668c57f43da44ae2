"""A good version takes all traffic on time, on real processes."""
import unittest

import fleet as fleets
import moves_test


class GoodMoveTest(moves_test.MovesTest):
    """The one move that is to finish."""

    test_a_bad_version_is_cut_and_taken_back = None
    test_a_router_cuts_a_bad_version_without_a_controller = None

    def test_a_good_version_takes_all_traffic_on_time(self):
        self.start_move()
        fleets.wait_until('the move is finished',
                          lambda: self.phase() == 'finished', moves_test.MOVE_PATIENCE)
        before = self.served('v1')
        served = self.served('v2')
        fleets.wait_until('requests went on',
                          lambda: self.served('v2') > served + 100)
        self.assertEqual(self.served('v1'), before)


# The cases of the base class belong to the other file.
def load_tests(loader, _tests, _pattern):
    return loader.loadTestsFromTestCase(GoodMoveTest)


if __name__ == '__main__':
    unittest.main()
