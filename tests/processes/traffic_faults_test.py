"""Answers stay whole, and calls that may run once do, whatever fails."""
import json
import socket
import threading
import time
import unittest

import fleet as fleets
import support


class BrokenEngineTest(support.FleetTest):
    """Engines cut, go silent, refuse and die in the middle of answers."""

    routers = 1

    def more_declarations(self):
        return [support.route('quick', idleTimeoutMs='500')]

    def test_cut_streams_are_resumed_elsewhere(self):
        plain = self.chat(tokens=30)
        self.engine[0].set_faults(cut_after_tokens=5)
        for number in range(6):
            answer = self.chat(tokens=30, request_id=f'cut-{number}')
            self.assert_whole(answer, 30)
            self.assertEqual(answer.text, plain.text)

    def test_a_silent_stream_is_resumed_elsewhere(self):
        self.engine[0].set_faults(silent_after_tokens=5)
        self.engine[1].set_faults(silent_after_tokens=5)
        caller = fleets.in_background(self.chat, route='quick', tokens=30)
        fleets.wait_until(
            'an engine fell silent',
            lambda: sum(engine.counts()['requests']
                        for engine in self.engine) >= 2)
        for engine in self.engine:
            engine.set_faults(silent_after_tokens=None)
        self.assert_whole(caller(), 30)

    def test_a_killed_engine_loses_no_answer(self):
        started = threading.Barrier(9)
        seen = threading.local()

        def on_token(_answer):
            if not getattr(seen, 'has_waited', False):
                seen.has_waited = True
                started.wait(fleets.PATIENCE)
        callers = [fleets.in_background(self.chat, tokens=100,
                                        on_token=on_token,
                                        prompt=f'Question {number}')
                   for number in range(8)]
        started.wait(fleets.PATIENCE)
        self.engine[0].kill()
        for join in callers:
            self.assert_whole(join(), 100)

    def test_a_refusing_engine_runs_nothing_twice(self):
        self.engine[0].set_faults(fail_percent=100)
        answer = self.chat(tokens=10)
        self.assert_whole(answer, 10)
        self.wait_settled(answer.bill['tokens_billed'])


class ServiceTest(support.FleetTest):
    """Plain services, some of whose calls may run at most once."""

    def more_declarations(self):
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

    def test_a_repeat_replays_and_does_not_run_again(self):
        first = self.book('again')
        self.assertEqual(self.book('again')[2], first[2])
        self.assertEqual(self.runs('again'), 1)

    def test_a_repeat_at_another_router_is_refused(self):
        self.assertEqual(self.book('moved')[0], 200)
        status, _, problem = self.book('moved', self.router[1])
        self.assertEqual((status, problem['outcome']),
                         (409, 'outcome_unknown'))
        self.assertEqual(self.runs('moved'), 1)

    def test_a_lost_reply_is_not_repeated(self):
        self.service.set_faults(drop_reply_after_effect=1)
        status, _, problem = self.book('lost')
        self.assertGreaterEqual(status, 500)
        self.assertEqual(problem['outcome'], 'outcome_unknown')
        for router in self.router:
            self.assertNotEqual(self.book('lost', router)[0], 200)
        self.assertEqual(self.runs('lost'), 1)

    def test_an_idempotent_call_is_repeated_after_a_lost_reply(self):
        self.service.set_faults(drop_reply_after_effect=1)
        self.assertEqual(self.book('price', route='prices')[0], 200)
        self.assertEqual(self.runs('price'), 2)
        self.wait_settled(1)

    def test_a_caller_may_forbid_the_repeat(self):
        self.service.set_faults(drop_reply_after_effect=1)
        status, _, problem = self.book('careful', route='prices',
                                       **{'Turmeric-Idempotent': 'false'})
        self.assertGreaterEqual(status, 500)
        self.assertEqual(problem['outcome'], 'outcome_unknown')
        self.assertEqual(self.runs('careful'), 1)

    def test_no_claim_no_call(self):
        self.assertEqual(self.book('warm')[0], 200)
        self.fleet.key_value.set_faults(outage=True)
        status, _, _ = self.book('unclaimed')
        self.assertEqual(status, 503)
        self.assertEqual(self.runs('unclaimed'), 0)


class GracefulStopTest(support.FleetTest):
    """A planned stop cuts off nothing and gives back what it holds."""

    def test_streams_end_whole_and_grants_return(self):
        started = threading.Event()
        caller = fleets.in_background(
            self.chat, tokens=200, on_token=lambda answer: started.set())
        self.assertTrue(started.wait(fleets.PATIENCE))
        self.assertEqual(self.router[0].stop(), 0)
        answer = caller()
        self.assert_whole(answer, 200)
        self.wait_settled(answer.bill['tokens_billed'])
        self.assertEqual(self.balance()['outstanding'], 0)

    def test_a_stopping_router_leaves_locate_answers(self):
        def located():
            reply = fleets.call(self.router[1].address, 'GET', '/v1/routers')
            return [row['address']
                    for row in json.loads(reply[2])['routers']]
        fleets.wait_until('both are located', lambda: len(located()) == 2)
        self.router[0].stop()
        fleets.wait_until('the stopped one is gone',
                          lambda: located() == [self.router[1].address])

    def test_a_second_signal_says_what_was_cut(self):
        started = threading.Event()
        caller = fleets.in_background(
            self.chat, tokens=4000, on_token=lambda answer: started.set())
        self.assertTrue(started.wait(fleets.PATIENCE))
        self.router[0].popen.terminate()
        fleets.wait_until('the stop began', lambda: 'event=102'
                          in self.router[0].log_text())
        time.sleep(0.05)
        self.router[0].popen.terminate()
        # The stop may take both signals as one; a third is always a second.
        fleets.wait_until('the router ended', self.ask_again)
        self.assertEqual(self.router[0].popen.returncode, 3)
        self.assertIn('event=107', self.router[0].log_text())
        self.assertFalse(caller().is_whole)

    def ask_again(self):
        if self.router[0].popen.poll() is None:
            self.router[0].popen.terminate()
        return self.router[0].popen.poll() is not None


class SlowReaderTest(support.FleetTest):
    """A caller that does not read holds a bounded part of the router."""

    routers = 1
    engine_options = ('--step-us', '200')
    router_settings = {'limits': {'unread_bytes': 4096, 'park_after_ms': 100,
                                  'write_timeout_ms': 60000}}

    def test_a_parked_stream_is_whole_when_read_again(self):
        host, port = self.router[0].address.split(':')
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect((host, int(port)))
        caller.settimeout(fleets.PATIENCE)
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
            piece = caller.recv(65536)
            if not piece:
                break
            received += piece
        caller.close()
        self.assertEqual(received.count(b'"finish_reason":null'), 4096)
        self.assertIn(b'data: [DONE]', received)


class LeavingUpstreamTest(support.FleetTest):
    """An upstream that the VM list calls leaving gets no new work."""

    routers = 1

    def test_the_vm_list_says_so(self):
        rows = [{'targets': [engine.address],
                 'labels': {'vm': engine.name, 'data_centre': 'dc1',
                            'state': state}}
                for engine, state in zip(self.engine, ('leaving', 'live'))]
        status, _, text = fleets.call(self.fleet.vm_list.address, 'PUT',
                                      '/vms', rows)
        self.assertIn(status, (200, 204), text)
        fleets.wait_until('the router saw it', lambda: 'event=403'
                          in self.router[0].log_text())
        before = self.engine[0].counts()['requests']
        for number in range(10):
            self.assert_whole(self.chat(tokens=2, prompt=f'Q {number}'), 2)
        self.assertEqual(self.engine[0].counts()['requests'], before)


if __name__ == '__main__':
    unittest.main()
