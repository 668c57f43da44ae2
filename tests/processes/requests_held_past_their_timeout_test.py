"""Guards against requests that are still unanswered half a second after their
route's timeout, at a router that is offered more than its link carries."""
import dataclasses
import http.client
import json
import threading
import time
import unittest

import entry_fleet
import fleet
import raw_entry
import raw_http
import shared_link

LINK_MBPS = 8
BODY = b'u' * 40_000
# Their requests take a link of that speed for 2.4 s.
CALLERS = 60
TIMEOUT_S = 1.5
CALLER_TIMEOUT_S = 6.0
# How much later than its timeout a request must have been answered.
SLACK_S = 0.5
# From the beginning of the load; from then on the rule holds.
CONTACT_S = 4.0
PLAY_S = 8.0
TTL_S = 2.0


@dataclasses.dataclass
class Call:
    begin: float
    duration: float
    status: int


class Caller(threading.Thread):
    """Makes one call after the other at one router. It asks a directory now and
    then, and leaves a router that is not named any more."""

    def __init__(self, test, number):
        super().__init__(daemon=True)
        self.test = test
        self.number = number
        self.address = test.small.callers
        self.connection = None
        self.calls = []

    def run(self):
        asked_at = time.monotonic()
        end = asked_at + PLAY_S
        while time.monotonic() < end:
            if time.monotonic() - asked_at > TTL_S:
                asked_at = time.monotonic()
                self.ask_directory()
            self.call()

    def ask_directory(self):
        named = self.test.ask_directory()
        if named and self.address not in named:
            self.address = named[0]
            self.drop_connection()

    def drop_connection(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    def call(self):
        if self.connection is None:
            self.connection = http.client.HTTPConnection(
                self.test.path_to(self.address), timeout=CALLER_TIMEOUT_S)
        begin = time.monotonic()
        fields = {'Host': 'shop.example',
                  'X-Request-Id': f'r-{self.number}-{len(self.calls)}',
                  'X-Request-Deadline': str(round(CALLER_TIMEOUT_S * 1000)),
                  'Authorization': f'Bearer {raw_entry.KEY}'}
        try:
            self.connection.request('POST', '/pay/sound', BODY, fields)
            response = self.connection.getresponse()
            response.read()
            status = response.status
        except (OSError, http.client.HTTPException):
            status = 0
            self.drop_connection()
        self.calls.append(Call(begin - self.test.began_at,
                               time.monotonic() - begin, status))
        if status == 503:
            time.sleep(0.2)


class RequestsHeldPastTheirTimeout(raw_entry.TemporaryFolderTest):
    def setUp(self):
        super().setUp()
        self.store = entry_fleet.Store(self.folder)
        self.addCleanup(self.store.process.kill)
        upstream = raw_http.RawUpstream()
        self.addCleanup(upstream.close)
        self.store.register('i-ledger', 'ledger', upstream.address, slots=200)
        self.store.put('op/config', self.document())
        self.small = self.start('vm-small', {'link_mbps': LINK_MBPS})
        self.large = self.start('vm-large', {})
        self.link = shared_link.SharedLink(self.small.callers,
                                           LINK_MBPS * 1e6 / 8)
        self.addCleanup(self.link.close)
        fleet.wait_until('each router names both', lambda: all(
            len(self.list_entries(entry)) == 2
            for entry in (self.small, self.large)))
        self.began_at = time.monotonic()

    def start(self, name, settings):
        entry = entry_fleet.Entry(self.folder, name, self.store.address,
                                  more_settings=settings)
        self.addCleanup(entry.kill)
        fleet.wait_until(f'{name} is ready', entry.is_ready)
        return entry

    @staticmethod
    def document():
        document = entry_fleet.operators_document(
            1, ('model', 'ledger'),
            [{'Name': 'acme', 'ApiKeys': [raw_entry.KEY], 'Prepaid': 10**9}])
        document['Routes'][1]['TimeoutMs'] = round(TIMEOUT_S * 1000)
        document['Services'][1]['MaxConns'] = 400
        return document

    @staticmethod
    def list_entries(entry):
        status, _, text = fleet.call(
            entry.directory, 'GET',
            '/api/resolve?Name=shop.example&Region=r&Zone=east')
        return json.loads(text)['Addresses'] if status == 200 else []

    def ask_directory(self):
        return self.list_entries(self.large)

    def path_to(self, address):
        return self.link.address if address == self.small.callers else address

    def play(self):
        callers = [Caller(self, number) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        return callers

    def test_callers_of_a_full_link_are_answered_in_time(self):
        calls = [call for caller in self.play() for call in caller.calls
                 if call.begin >= CONTACT_S]
        overdue = [call for call in calls if call.duration > TIMEOUT_S]
        held = [call for call in overdue
                if call.duration > TIMEOUT_S + SLACK_S]
        # The rule's bound: eight requests or more, and over a quarter of those
        # that last longer than their timeout.
        self.assertFalse(len(held) >= 8 and 4 * len(held) > len(overdue),
                         f'{len(held)} of {len(overdue)} were held on, of '
                         f'{len(calls)}')
        served = sum(call.status == 200 for call in calls)
        self.assertGreater(served, len(calls) / 2)

    def test_callers_of_a_full_link_are_named_another_router(self):
        self.assertEqual({caller.address for caller in self.play()},
                         {self.large.callers})


if __name__ == '__main__':
    unittest.main()
