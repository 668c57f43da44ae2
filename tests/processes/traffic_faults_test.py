"""Checks under faults that responses are complete, and that calls that must
run at most once do."""
import json
import socket
import threading
import time
import unittest

import fleet as fleets
import support


class BrokenEngineTest(support.FleetTest):
    """Engines truncate, stall or refuse responses, or die during one."""

    routers = 1

    def extra_declarations(self):
        return [support.route('quick', idleTimeoutMs='500')]

    def test_truncated_streams_are_resumed_elsewhere(self):
        plain = self.chat(tokens=30)
        self.engine[0].set_faults(cut_after_tokens=5)
        for number in range(6):
            response = self.chat(tokens=30, request_id=f'cut-{number}')
            self.assert_complete(response, 30)
            self.assertEqual(response.text, plain.text)

    def test_a_stalled_stream_is_resumed_elsewhere(self):
        self.engine[0].set_faults(silent_after_tokens=5)
        self.engine[1].set_faults(silent_after_tokens=5)
        caller = fleets.in_background(self.chat, route='quick', tokens=30)
        fleets.wait_until(
            'an engine stalled',
            lambda: sum(engine.counts()['requests']
                        for engine in self.engine) >= 2)
        for engine in self.engine:
            engine.set_faults(silent_after_tokens=None)
        self.assert_complete(caller(), 30)

    def test_streams_of_a_killed_engine_are_resumed(self):
        started = threading.Barrier(9)
        seen = threading.local()

        def on_token(_answer):
            if not getattr(seen, 'has_waited', False):
                seen.has_waited = True
                started.wait(fleets.TIMEOUT_S)
        callers = [fleets.in_background(self.chat, tokens=100,
                                        on_token=on_token,
                                        prompt=f'Question {number}')
                   for number in range(8)]
        started.wait(fleets.TIMEOUT_S)
        self.engine[0].kill()
        for join in callers:
            self.assert_complete(join(), 100)

    def test_a_request_that_an_engine_fails_is_billed_once(self):
        self.engine[0].set_faults(fail_percent=100)
        response = self.chat(tokens=10)
        self.assert_complete(response, 10)
        self.wait_settled(response.bill['tokens_billed'])


class ServiceTest(support.FleetTest):
    """Plain services, some of whose calls must run at most once."""

    def extra_declarations(self):
        self.service = self.fleet.start('service', 'standin_service')
        return [
            support.route('bookings', 'book-1', upstreamKind='service',
                          isIdempotent=False, tokensPerCall='3'),
            support.route('prices', 'book-1', upstreamKind='service',
                          tokensPerCall='1'),
            support.upstream('service', self.service.address, ('book-1',))]

    def book(self, name, router=None, route='bookings', **headers):
        status, replied, text = fleets.call(
            (router or self.router[0]).address, 'POST',
            f'/services/{route}/slots/7?heat=2', {'name': name},
            {'Authorization': f'Bearer {support.KEY}',
             'Idempotency-Key': name, **headers})
        return status, replied, json.loads(text)

    def runs(self, name):
        return self.service.counts()['request_ids'].get(name, 0)

    def test_a_call_passes_through_and_is_billed(self):
        status, headers, record = self.book('one')
        self.assertEqual(status, 200)
        self.assertEqual(headers['Turmeric-Tokens-Billed'], '3')
        self.assertEqual(record['path'], '/slots/7?heat=2')
        self.wait_settled(3)

    def test_a_repeated_call_replays_the_response(self):
        first = self.book('again')
        self.assertEqual(self.book('again')[2], first[2])
        self.assertEqual(self.runs('again'), 1)

    def test_a_repeated_call_at_another_router_is_refused(self):
        self.assertEqual(self.book('moved')[0], 200)
        status, _, problem = self.book('moved', self.router[1])
        self.assertEqual((status, problem['outcome']),
                         (409, 'outcome_unknown'))
        self.assertEqual(self.runs('moved'), 1)

    def test_a_call_with_a_lost_reply_is_not_retried(self):
        self.service.set_faults(drop_reply_after_effect=1)
        status, _, problem = self.book('lost')
        self.assertGreaterEqual(status, 500)
        self.assertEqual(problem['outcome'], 'outcome_unknown')
        for router in self.router:
            self.assertNotEqual(self.book('lost', router)[0], 200)
        self.assertEqual(self.runs('lost'), 1)

    def test_an_idempotent_call_is_retried_after_a_lost_reply(self):
        self.service.set_faults(drop_reply_after_effect=1)
        self.assertEqual(self.book('price', route='prices')[0], 200)
        self.assertEqual(self.runs('price'), 2)
        self.wait_settled(1)

    def test_a_caller_can_forbid_the_retry(self):
        self.service.set_faults(drop_reply_after_effect=1)
        status, _, problem = self.book('careful', route='prices',
                                       **{'Turmeric-Idempotent': 'false'})
        self.assertGreaterEqual(status, 500)
        self.assertEqual(problem['outcome'], 'outcome_unknown')
        self.assertEqual(self.runs('careful'), 1)

    def test_a_call_without_a_claim_is_refused(self):
        self.assertEqual(self.book('warm')[0], 200)
        self.fleet.key_value.set_faults(outage=True)
        status, _, _ = self.book('unclaimed')
        self.assertEqual(status, 503)
        self.assertEqual(self.runs('unclaimed'), 0)


class GracefulStopTest(support.FleetTest):
    """A planned stop aborts no request and returns the grants."""

    def test_streams_complete_and_grants_are_returned(self):
        started = threading.Event()
        caller = fleets.in_background(
            self.chat, tokens=200, on_token=lambda response: started.set())
        self.assertTrue(started.wait(fleets.TIMEOUT_S))
        self.assertEqual(self.router[0].stop(), 0)
        response = caller()
        self.assert_complete(response, 200)
        self.wait_settled(response.bill['tokens_billed'])
        self.assertEqual(self.balance()['outstanding'], 0)

    def test_locate_responses_omit_a_stopping_router(self):
        def located():
            reply = fleets.call(self.router[1].address, 'GET', '/v1/routers')
            return [row['address']
                    for row in json.loads(reply[2])['routers']]
        fleets.wait_until('both are located', lambda: len(located()) == 2)
        self.router[0].stop()
        fleets.wait_until('the stopped router is omitted',
                          lambda: located() == [self.router[1].address])

    def test_a_second_signal_logs_the_aborted_requests(self):
        started = threading.Event()
        caller = fleets.in_background(
            self.chat, tokens=4000, on_token=lambda response: started.set())
        self.assertTrue(started.wait(fleets.TIMEOUT_S))
        self.router[0].popen.terminate()
        fleets.wait_until('the stop began', lambda: 'event=102'
                          in self.router[0].log_text())
        time.sleep(0.05)
        self.router[0].popen.terminate()
        # Signals that arrive together may be delivered as one, so further
        # signals are sent until the router ends.
        fleets.wait_until('the router ended', self.signal_again)
        self.assertEqual(self.router[0].popen.returncode, 3)
        self.assertIn('event=107', self.router[0].log_text())
        self.assertFalse(caller().is_complete)

    def signal_again(self):
        if self.router[0].popen.poll() is None:
            self.router[0].popen.terminate()
        return self.router[0].popen.poll() is not None


class SlowReaderTest(support.FleetTest):
    """A caller that does not read uses a bounded amount of router memory."""

    routers = 1
    engine_options = ('--step-us', '200')
    router_settings = {'limits': {'unread_bytes': 4096, 'park_after_ms': 100,
                                  'write_timeout_ms': 60000}}

    def test_a_parked_stream_is_complete_when_read_again(self):
        host, port = self.router[0].address.split(':')
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect((host, int(port)))
        caller.settimeout(fleets.TIMEOUT_S)
        body = json.dumps(fleets.chat_body('ruling', 'Slowly', 4096))
        caller.sendall((
            'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
            f'Authorization: Bearer {support.KEY}\r\n'
            'Content-Type: application/json\r\nConnection: close\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}').encode())

        def parked():
            text = fleets.call(self.router[0].address, 'GET', '/metrics')[2]
            return [line for line in text.splitlines()
                    if line.startswith('turmeric_parked_streams_total ')
                    and not line.endswith(' 0')]
        fleets.wait_until('the stream is parked', parked)
        received = b''
        while True:
            data = caller.recv(65536)
            if not data:
                break
            received += data
        caller.close()
        self.assertEqual(received.count(b'"finish_reason":null'), 4096)
        self.assertIn(b'data: [DONE]', received)


class LeavingUpstreamTest(support.FleetTest):
    """An upstream whose VM is leaving according to the VM list."""

    routers = 1

    def test_a_leaving_upstream_receives_no_new_requests(self):
        rows = [{'targets': [engine.address],
                 'labels': {'vm': engine.name, 'data_centre': 'dc1',
                            'state': state}}
                for engine, state in zip(self.engine, ('leaving', 'live'))]
        status, _, text = fleets.call(self.fleet.vm_list.address, 'PUT',
                                      '/vms', rows)
        self.assertIn(status, (200, 204), text)
        fleets.wait_until('the router logged the leaving upstream',
                          lambda: 'event=403' in self.router[0].log_text())
        before = self.engine[0].counts()['requests']
        for number in range(10):
            self.assert_complete(self.chat(tokens=2, prompt=f'Q {number}'), 2)
        self.assertEqual(self.engine[0].counts()['requests'], before)


if __name__ == '__main__':
    unittest.main()
