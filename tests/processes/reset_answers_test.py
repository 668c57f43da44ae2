"""Guards against answers that are reset before they are complete, and reach
callers of the entry as complete ones: above all where the reset meets the write
of an upload first, which takes the error with it. Sound ends go on passing."""
import unittest

import raw_entry
import raw_http
from raw_entry import head_of, with_length
from raw_http import Answer

# With a pause, the part has been read as the reset comes, and a write meets the
# reset first.
PAUSE_S = 0.2


class ResetAnswersTest(raw_entry.EntryOfRawUpstreams):
    def test_a_reset_while_an_upload_is_written(self):
        for status, pause_s in ((b'200', 0), (b'200', PAUSE_S),
                                (b'413', 0), (b'413', PAUSE_S)):
            with self.subTest(status=status, pause_s=pause_s):
                self.faulty.answers['/pay/part'] = lambda request: Answer(
                    (head_of(request, status) + b'\r\npart',), 'reset',
                    is_early=True, pause_s=pause_s)
                self.expect_broken(self.upload('/pay/part'), 'reset')
                self.expect_sound_call()

    def test_a_reset_while_an_upload_is_written_and_the_body_passed_on(self):
        self.faulty.answers['/pay/part'] = lambda request: Answer(
            (head_of(request) + b'\r\n' + raw_entry.LARGE_PART,), 'reset',
            is_early=True, pause_s=PAUSE_S)
        for version in (b'1.1', b'1.0'):
            with self.subTest(version):
                reply = self.upload('/pay/part', version)
                self.assertEqual(reply.status, 200)
                self.assertTrue(reply.body() is None)
                self.expect_sound_call()

    def test_an_upstream_that_takes_no_more_of_an_upload(self):
        # The kernel gives such a connection up as if its VM were gone.
        self.faulty.answers['/pay/part'] = lambda request: Answer(
            (head_of(request) + b'\r\npart',), 'reset', is_early=True,
            pause_s=3.5)
        self.expect_broken(self.upload('/pay/part'), 'unacknowledged')

    def test_a_reset_after_the_request_was_written(self):
        self.expect_refused(lambda request: Answer(
            (head_of(request) + b'\r\npart', b'more'), 'reset'), 'reset')

    def test_a_stream_that_is_reset_after_an_event_is_not_complete(self):
        first_event = raw_entry.EVENTS[:raw_entry.EVENTS.index(b'id: 2')]
        self.engine.answers['/ask/part'] = lambda request: Answer(
            (head_of(request, lines=(b'Content-Type: text/event-stream',)) +
             b'\r\n' + first_event,), 'reset', is_early=True,
            pause_s=PAUSE_S)
        reply = self.upload('/ask/part', upstream=self.engine)
        self.assertTrue(reply.body() is None, reply.raw[:200])
        self.expect_charged(raw_entry.INPUT_TOKENS + 1)

    def test_a_request_that_may_be_repeated_is_served_elsewhere(self):
        self.expect_served_elsewhere(
            lambda request: Answer((head_of(request) + b'\r\npart',), 'reset',
                                   is_early=True, pause_s=PAUSE_S),
            b'u' * raw_http.UPLOAD_BYTES)

    def test_an_answer_without_a_length_passes(self):
        reply = self.expect_passed(lambda request: Answer(
            (head_of(request) + b'\r\nwhole', b' body'), 'close'))
        self.assertEqual((reply.status, reply.body()), (200, b'whole body'))

    def test_a_stream_passes(self):
        reply = self.call('/ask/sound')
        self.assertEqual((reply.status, reply.body()), (200, raw_entry.EVENTS))

    def test_an_early_refusal_with_a_length_passes(self):
        for end in ('close', 'reset'):
            with self.subTest(end):
                self.faulty.answers['/pay/early'] = lambda request: Answer(
                    (head_of(request, b'413') + with_length(b'too long'),),
                    end, is_early=True)
                reply = self.upload('/pay/early')
                self.assertEqual((reply.status, reply.body()),
                                 (413, b'too long'))
                self.expect_sound_call()

    def test_an_early_refusal_that_ends_with_the_stream_passes(self):
        # The end of the stream completes it. The reset comes later, as the
        # rest of the upload meets a closed connection.
        self.faulty.answers['/pay/early'] = lambda request: Answer(
            (head_of(request, b'413') + b'\r\ntoo long',), 'close',
            is_early=True)
        reply = self.upload('/pay/early')
        self.assertEqual((reply.status, reply.body()), (413, b'too long'))


if __name__ == '__main__':
    unittest.main()
