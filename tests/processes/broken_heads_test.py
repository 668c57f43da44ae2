"""Guards against answers with a broken head that reach callers of the entry: with
a status that is none, or a field whose name has a byte that no name can have.
Sound heads that look unusual go on passing."""
import unittest

import entry_fleet
import fleet
import raw_entry
import raw_http
from raw_entry import head_of, in_chunks, with_length
from raw_http import Answer

INVALID_STATUSES = (b'000', b'001', b'099', b'600', b'700', b'999', b'20',
                    b'2000', b'0200', b'-20', b'2 0', b'abc')
# Interim responses and 204, 205 and 304 aside, which have no body.
UNUSUAL_STATUSES = (201, 226, 299, 300, 399, 418, 451, 499, 500, 511, 599)
# Lines whose names hold a byte that no name can have, or none at all.
INVALID_LINES = (b'X-Fi eld: v', b'X-Field : v', b'X-Fi\teld: v',
                 b'X-Field\t: v', b'X-Fi\x00eld: v', b'X-Fi\x01eld: v',
                 b'X-Fi\x1feld: v', b'X-Fi\x7feld: v', b'X-Fi\reld: v',
                 b'X-Fi\neld: v', b'X-Fi\xe9ld: v', b'X-Fi(ld: v',
                 b'"X-Field": v', b': v', b'X-Field', b'Content-Length : 1',
                 b'Transfer-Encoding\t: chunked', b'Content-Length\x00: 1')
ALL_NAME_BYTES = b"!#$%&'*+-.^_`|~0123456789AZaz"


class BrokenHeadsTest(raw_entry.EntryOfRawUpstreams):
    def test_invalid_statuses(self):
        for status in INVALID_STATUSES:
            with self.subTest(status):
                self.expect_refused(lambda request: Answer(
                    (head_of(request, status) + with_length(b'body'),)),
                    'invalid_status')

    def test_an_invalid_status_after_an_interim_answer(self):
        for interim in (b'HTTP/1.1 100 Continue\r\n\r\n',
                        b'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'):
            self.expect_refused(lambda request: Answer(
                (interim, head_of(request, b'000') + with_length(b'body'))),
                'invalid_status')

    def test_an_invalid_status_without_a_length(self):
        for end in ('close', 'reset'):
            self.expect_refused(lambda request: Answer(
                (head_of(request, b'000') + b'\r\npart',), end),
                'invalid_status')

    def test_an_invalid_status_is_no_promise(self):
        # The request may have run, whatever the rest of the head says.
        self.expect_refused(lambda request: Answer(
            (head_of(request, b'000', (b'X-Not-Executed: 1',)) +
             with_length(b''),)), 'invalid_status')

    def test_invalid_lines_in_a_head(self):
        for line in INVALID_LINES:
            with self.subTest(line):
                self.expect_refused(lambda request: Answer(
                    (head_of(request, lines=(line,)) + with_length(b'body'),)),
                    'invalid_field_name')

    def test_invalid_lines_in_the_head_of_an_interim_answer(self):
        for line in INVALID_LINES:
            with self.subTest(line):
                self.expect_refused(lambda request: Answer(
                    (b'HTTP/1.1 103 Early Hints\r\n' + line + b'\r\n\r\n' +
                     raw_http.sound_answer(request.id),)),
                    'invalid_field_name')

    def test_invalid_lines_in_trailers(self):
        for line in INVALID_LINES:
            with self.subTest(line):
                self.expect_refused(lambda request: Answer(
                    (head_of(request) + in_chunks(b'body', line + b'\r\n'),)),
                    'invalid_field_name')

    def test_invalid_lines_in_trailers_of_a_body_that_is_passed_on(self):
        # Its head and most of its body have reached the caller by then.
        self.faulty.answers['/pay/long'] = lambda request: Answer(
            (head_of(request) + in_chunks(raw_entry.LARGE_PART,
                                          b'X-Fi eld: v\r\n'),))
        reply = self.call('/pay/long')
        self.assertEqual(reply.status, 200)
        self.assertTrue(reply.body() is None)

    def test_a_request_that_may_be_repeated_is_served_after_a_status(self):
        self.expect_served_elsewhere(lambda request: Answer(
            (head_of(request, b'000') + with_length(b''),)))

    def test_a_request_that_may_be_repeated_is_served_after_a_name(self):
        self.expect_served_elsewhere(lambda request: Answer(
            (head_of(request, lines=(b'X-Fi eld: v',)) + with_length(b''),)))

    def test_a_stream_with_a_broken_head_is_charged_its_input(self):
        # It may have run, and delivered nothing.
        self.engine.answers['/ask/broken'] = lambda request: Answer(
            (head_of(request, b'000') + with_length(raw_entry.EVENTS),))
        self.expect_broken(self.call('/ask/broken'), 'invalid_status')
        self.expect_charged(raw_entry.INPUT_TOKENS)

    def test_unusual_statuses_pass(self):
        for status in UNUSUAL_STATUSES:
            with self.subTest(status):
                reply = self.expect_passed(lambda request: Answer(
                    (head_of(request, b'%d' % status) + with_length(b'body'),)))
                self.assertEqual((reply.status, reply.body()),
                                 (status, b'body'))
                self.assertEqual(reply.field(b'X-Server-Stamp'), b'stamp-1')
                self.expect_sound_call()

    def test_all_legal_bytes_in_names_pass(self):
        reply = self.expect_passed(lambda request: Answer(
            (head_of(request, lines=(ALL_NAME_BYTES + b': v',)) +
             with_length(b'body'),)))
        self.assertEqual((reply.status, reply.body()), (200, b'body'))
        self.assertEqual(reply.field(ALL_NAME_BYTES), b'v')

    def test_interim_answers_pass(self):
        reply = self.expect_passed(lambda request: Answer(
            (b'HTTP/1.1 100 Continue\r\n\r\n',
             b'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n' +
             b'HTTP/1.1 199 Unusual\r\n\r\n',
             raw_http.sound_answer(request.id))))
        self.assertEqual((reply.status, reply.body()), (200, b'sound'))

    def test_trailers_pass(self):
        reply = self.expect_passed(lambda request: Answer(
            (head_of(request) + in_chunks(b'body', b'X-Sum: 1\r\n'),)))
        self.assertEqual((reply.status, reply.body()), (200, b'body'))
        self.expect_sound_call()


class BrokenHeadsOfTheStoreTest(raw_entry.TemporaryFolderTest):
    def test_the_entry_does_not_take_them_for_answers(self):
        broken = {
            'invalid_status': b'HTTP/1.1 000 OK\r\n',
            'invalid_field_name': b'HTTP/1.1 200 OK\r\nX-Fi eld: v\r\n'}
        for cause, head in broken.items():
            with self.subTest(cause):
                store = raw_http.RawUpstream()
                self.addCleanup(store.close)
                store.default_answer = lambda _: Answer(
                    (head + with_length(b'{"CurrentRev":1,"Items":[]}'),))
                entry = entry_fleet.Entry(self.folder, cause, store.address)
                self.addCleanup(entry.kill)
                fleet.wait_until(
                    'the call is logged', lambda:
                    f'unreadable ({cause})' in entry.log.read_text())
                self.assertFalse(entry.is_ready())
                connections = [request.connection
                               for request in store.requests]
                self.assertEqual(len(set(connections)), len(connections))


if __name__ == '__main__':
    unittest.main()
