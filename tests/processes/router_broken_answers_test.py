"""Guards against broken answers of services that reach callers of the product's
own router, as those of the platform's entry (broken_heads_test.py)."""
import unittest

import fleet as fleets
import raw_http
import support
from raw_entry import in_chunks, with_length
from raw_http import Answer

INVALID_STATUSES = (b'000', b'001', b'099', b'600', b'999', b'20', b'2000',
                    b'abc')
INVALID_LINES = (b'X-Fi eld: v', b'X-Field : v', b'X-Fi\teld: v',
                 b'X-Fi\x00eld: v', b'X-Fi\x01eld: v', b'X-Fi\x7feld: v',
                 b'X-Fi\reld: v', b'X-Fi\neld: v', b'X-Fi\xe9ld: v',
                 b'X-Fi(ld: v', b': v', b'X-Field', b'X-Fi eld:',
                 b'Content-Length : 1', b'Transfer-Encoding\t: chunked',
                 b'Content-Length\x00: 1')
UNUSUAL_STATUSES = (201, 226, 299, 399, 418, 451, 499, 500, 511, 599)
# Less than a router accepts, and more than the kernels hold, since the stand-in
# has a small buffer.
UPLOAD_BYTES = 3 << 20
ALL_NAME_BYTES = b"!#$%&'*+-.^_`|~0123456789AZaz"


def head_of(status=b'200', lines=()):
    return b'HTTP/1.1 ' + status + b' Status\r\n' + b''.join(
        line + b'\r\n' for line in lines)


class RouterBrokenAnswersTest(support.FleetTest):
    engines = 0
    routers = 1

    def extra_declarations(self):
        self.service = raw_http.RawUpstream(raw_http.SMALL_BUFFER_BYTES)
        self.addCleanup(self.service.close)
        return [
            support.route('bookings', 'book-1', upstreamKind='service',
                          isIdempotent=False,
                          tokensPerCall='3'),
            support.upstream('service', self.service.address, ('book-1',))]

    def call(self, path, body=b'x'):
        return raw_http.call(
            self.router[0].address, f'/services/bookings{path}',
            {'Host': 'router', 'Authorization': f'Bearer {support.KEY}'}, body)

    def answer(self, answer):
        """Calls the service once soundly, which keeps it in use, and once for
        the answer."""
        sound = self.call('/sound')
        self.assertEqual((sound.status, sound.body()), (200, b'sound'))
        self.service.answers['/answer'] = answer
        return self.call('/answer')

    def expect_refused(self, answer, cause):
        reply = self.answer(answer)
        self.assertEqual(reply.status, 502, reply.raw[:200])
        self.assertIn(b'"outcome":"outcome_unknown"', reply.body())
        self.assertIn(cause, reply.body())
        fleets.wait_until(
            'the cause is logged', lambda:
            cause in self.router[0].log.read_bytes())

    def test_invalid_statuses(self):
        for status in INVALID_STATUSES:
            with self.subTest(status):
                self.expect_refused(lambda request: Answer(
                    (head_of(status) + with_length(b'body'),)),
                    b'invalid_status')

    def test_an_invalid_status_after_an_interim_answer(self):
        self.expect_refused(lambda request: Answer(
            (b'HTTP/1.1 100 Continue\r\n\r\n',
             head_of(b'000') + with_length(b'body'))), b'invalid_status')

    def test_invalid_lines(self):
        for line in INVALID_LINES:
            with self.subTest(line):
                self.expect_refused(lambda request: Answer(
                    (head_of(lines=(line,)) + with_length(b'body'),)),
                    b'invalid_field_name')

    def test_invalid_lines_before_a_length(self):
        # The length must not be the only line that is believed.
        self.expect_refused(lambda request: Answer(
            (head_of(lines=(b'Content-Length : 9',)) + b'\r\nbody',),
            'close'), b'invalid_field_name')

    def test_invalid_trailers(self):
        reply = self.answer(lambda request: Answer(
            (head_of() + in_chunks(b'body', b'X-Fi eld: v\r\n'),)))
        self.assertEqual(reply.status, 502, reply.raw[:200])

    def test_a_reset_while_an_upload_is_written(self):
        self.service.answers['/part'] = lambda request: Answer(
            (head_of() + b'\r\npart',), 'reset', is_early=True, pause_s=0.2)
        reply = self.call('/part', b'u' * UPLOAD_BYTES)
        self.assertGreater(self.service.unwritten_bytes, 0)
        self.assertEqual(reply.status, 502, reply.raw[:200])

    def test_a_reset_after_the_request_was_written(self):
        reply = self.answer(lambda request: Answer(
            (head_of() + b'\r\npart', b'more'), 'reset'))
        self.assertEqual(reply.status, 502, reply.raw[:200])

    def test_unusual_statuses_pass(self):
        for status in UNUSUAL_STATUSES:
            with self.subTest(status):
                reply = self.answer(lambda request: Answer(
                    (head_of(b'%d' % status) + with_length(b'body'),)))
                self.assertEqual((reply.status, reply.body()),
                                 (status, b'body'))

    def test_all_legal_bytes_in_names_pass(self):
        reply = self.answer(lambda request: Answer(
            (head_of(lines=(ALL_NAME_BYTES + b': v',)) +
             with_length(b'body'),)))
        self.assertEqual((reply.status, reply.body()), (200, b'body'))

    def test_an_answer_without_a_length_passes(self):
        reply = self.answer(lambda request: Answer(
            (head_of() + b'\r\nwhole', b' body'), 'close'))
        self.assertEqual((reply.status, reply.body()), (200, b'whole body'))

    def test_interim_answers_pass(self):
        reply = self.answer(lambda request: Answer(
            (b'HTTP/1.1 100 Continue\r\n\r\n',
             b'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n',
             head_of() + with_length(b'body'))))
        self.assertEqual((reply.status, reply.body()), (200, b'body'))

    def test_chunks_pass(self):
        reply = self.answer(lambda request: Answer(
            (head_of() + in_chunks(b'body'),)))
        self.assertEqual((reply.status, reply.body()), (200, b'body'))


if __name__ == '__main__':
    unittest.main()
