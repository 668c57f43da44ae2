"""Requests from end to end, and invalid requests of callers."""
import json
import socket
import unittest

import fleet as fleets
import support


class EndToEndTest(support.FleetTest):
    """Valid requests from end to end."""

    def test_a_stream_is_complete_and_billed(self):
        response = self.chat(tokens=8, request_id='first')
        self.assert_complete(response, 8)
        self.assertEqual(response.headers['X-Request-Id'], 'first')
        self.assertEqual(response.bill['version'], 'v1')
        self.wait_settled(response.bill['tokens_billed'])

    def test_a_response_without_streaming(self):
        status, headers, text = fleets.call(
            self.router[0].address, 'POST', '/v1/chat/completions',
            fleets.chat_body('ruling', 'Whole?', 5, stream=False),
            {'Authorization': f'Bearer {support.KEY}'})
        self.assertEqual(status, 200, text)
        body = json.loads(text)
        streamed = self.chat(prompt='Whole?', tokens=5)
        self.assertEqual(body['choices'][0]['message']['content'],
                         streamed.text)
        self.assertEqual(int(headers['Turmeric-Tokens-Billed']),
                         body['usage']['total_tokens'])

    def test_locates_routers_and_serves_at_each(self):
        def located():
            text = fleets.call(self.router[0].address, 'GET',
                               '/v1/routers')[2]
            return json.loads(text)['routers']
        fleets.wait_until('both routers are located',
                          lambda: len(located()) == 2)
        for router in self.router:
            self.assert_complete(self.chat(router, tokens=3), 3)

    def test_a_repeated_request_is_billed_once(self):
        first = self.chat(tokens=6, request_id='same')
        again = self.chat(tokens=6, request_id='same')
        elsewhere = self.chat(self.router[1], tokens=6, request_id='same')
        for response in (first, again, elsewhere):
            self.assert_complete(response, 6)
            self.assertEqual(response.text, first.text)
        self.wait_settled(first.bill['tokens_billed'])

    def test_a_request_id_with_another_body_is_refused(self):
        self.assert_complete(self.chat(tokens=4, request_id='same'), 4)
        other = self.chat(prompt='Another?', tokens=4, request_id='same')
        self.assertEqual(other.failure['code'], 1008)
        self.assertEqual(other.failure['outcome'], 'not_run')

    def test_a_disconnected_caller_is_billed_for_the_delivered_part(self):
        host, port = self.router[0].address.split(':')
        caller = socket.create_connection((host, int(port)))
        body = json.dumps(fleets.chat_body('ruling', 'Go on', 4000))
        caller.sendall((
            'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
            f'Authorization: Bearer {support.KEY}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}').encode())
        received = b''
        while received.count(b'data: ') < 3:
            received += caller.recv(4096)
        caller.close()
        fleets.wait_until(
            'an engine has counted the cancellation',
            lambda: sum(engine.counts()['cancelled']
                        for engine in self.engine) == 1)
        settled = fleets.wait_until('the delivered part is billed',
                                    lambda: self.balance()['settled'])
        self.assertLess(settled, 4000)
        self.assert_not_overspent()


class BadInputTest(support.FleetTest):
    """Each error has a code and names the field, and no request is run."""

    routers = 1
    router_settings = {'limits': {'body_bytes': 4096, 'headers': 16,
                                  'read_timeout_ms': 300}}

    def post(self, body, key=support.KEY, **headers):
        status, _, text = fleets.call(
            self.router[0].address, 'POST', '/v1/chat/completions', body,
            {'Authorization': f'Bearer {key}', **headers})
        return status, json.loads(text)

    def check(self, reply, status, code, field):
        self.assertEqual((reply[0], reply[1]['code'], reply[1]['field']),
                         (status, code, field))
        self.assertEqual(reply[1]['outcome'], 'not_run')

    def tearDown(self):
        self.assertEqual(sum(engine.counts()['requests']
                             for engine in self.engine), 0)
        self.assertEqual(self.balance()['settled'], 0)

    def test_malformed_json(self):
        self.check(self.post('{"model": '), 400, 1001, 'body')

    def test_missing_and_wrong_keys(self):
        body = fleets.chat_body('ruling', 'x', 1)
        self.check(self.post(body, key=''), 401, 1002, 'Authorization')
        self.check(self.post(body, key='wrong'), 401, 1003, 'Authorization')

    def test_unknown_route(self):
        self.check(self.post(fleets.chat_body('nowhere', 'x', 1)),
                   404, 1004, 'route')

    def test_limits_of_max_tokens(self):
        for tokens in (-1, 0, 2 ** 31, 2 ** 63, 10 ** 30):
            self.check(self.post(fleets.chat_body('ruling', 'x', tokens)),
                       422, 1007, 'max_tokens')

    def test_a_body_over_the_limit(self):
        reply = self.post(fleets.chat_body('ruling', 'x' * 5000, 1))
        self.check(reply, 413, 1005, 'body')

    def test_too_many_headers(self):
        headers = {f'X-Flood-{number}': 'x' for number in range(40)}
        self.check(self.post(fleets.chat_body('ruling', 'x', 1), **headers),
                   431, 1006, 'headers')

    def test_unknown_budget(self):
        reply = self.post(fleets.chat_body('ruling', 'x', 1),
                          **{'Turmeric-Budget': 'none'})
        self.check(reply, 402, 3008, 'Turmeric-Budget')

    def test_an_incomplete_body_times_out(self):
        host, port = self.router[0].address.split(':')
        with socket.create_connection((host, int(port)), 60) as caller:
            caller.sendall(b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
                           b'Content-Length: 100\r\n\r\n{"model"')
            received = b''
            while True:
                data = caller.recv(4096)
                if not data:
                    break
                received += data
        self.assertIn(b' 400 ', received.split(b'\r\n')[0])
        self.assertIn(b'"code":1001', received)


if __name__ == '__main__':
    unittest.main()
