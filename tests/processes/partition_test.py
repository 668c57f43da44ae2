"""A router is cut off from the platform, in one direction or both."""
import unittest

import fleet as fleets
import link as links
import support


class PartitionTest(support.FleetTest):
    """Router 0 reaches the platform over a link that can be cut."""

    # Large enough that grants exceed the immediate need of the routers.
    top_up = 1_000_000

    def setUp(self):
        self.links = []
        super().setUp()
        self.cut_off = self.start_linked('cut-off')

    def start_linked(self, name):
        link = links.Link(self.fleet.key_value.address)
        self.addCleanup(link.close)
        self.links.append(link)
        direct = self.fleet.key_value.address
        self.fleet.key_value.address = link.address
        try:
            router = self.fleet.start_router(name, limits={'leave_ms': 0})
        finally:
            self.fleet.key_value.address = direct
        self.fleet.wait_ready(router)
        fleets.wait_until('the cut-off router has a grant', lambda: self.chat(
            router, tokens=5).is_complete)
        return router

    def spend(self, router, name, count):
        """Sends requests until `count` responses are complete; the outcome of
        refusals must be not_run. Returns the billed tokens."""
        responses = []

        def send_next():
            response = self.chat(router, tokens=5,
                                 request_id=f'{name}-{len(responses)}')
            if response.is_complete:
                responses.append(response)
            else:
                self.assertEqual(response.failure['outcome'], 'not_run')
            return len(responses) == count
        fleets.wait_until(f'{count} responses are complete', send_next)
        return sum(response.bill['tokens_billed'] for response in responses)

    def check_top_up_while_cut_off(self, **direction):
        settled = self.balance()['settled']
        self.links[0].cut(**direction)
        settled += self.spend(self.cut_off, 'cut', 3)
        self.add_tokens('while-cut', 1000)
        settled += self.spend(self.router[0], 'other-side', 3)
        settled += self.spend(self.cut_off, 'still-cut', 3)
        self.assert_not_overspent()
        self.links[0].restore()
        settled += self.spend(self.cut_off, 'mended', 3)
        self.wait_settled(settled)
        self.assertEqual(self.balance()['topped_up'], self.top_up + 1000)
        self.assert_not_overspent()

    def test_both_sides_spend_while_one_is_cut_off(self):
        self.check_top_up_while_cut_off()

    def test_requests_arrive_but_replies_are_lost(self):
        self.check_top_up_while_cut_off(requests=False)

    def test_requests_are_lost_but_replies_could_arrive(self):
        self.check_top_up_while_cut_off(replies=False)

    def test_killed_while_cut_off(self):
        settled = self.balance()['settled']
        self.links[0].cut()
        settled += self.spend(self.cut_off, 'cut', 3)
        self.cut_off.kill()
        self.wait_settled(settled)
        settled += self.spend(self.router[0], 'after', 3)
        self.wait_settled(settled)
        self.assert_not_overspent()


if __name__ == '__main__':
    unittest.main()
