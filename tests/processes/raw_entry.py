"""An entry process whose upstreams are stand-ins that send prepared bytes."""
import pathlib
import tempfile
import unittest

import entry_fleet
import fleet
import raw_http
from raw_http import Answer

KEY = 'key-1'
INPUT_TOKENS = 10
EVENTS = b'id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n'
# More than a router keeps of a body before it begins to pass it on.
LARGE_PART = b'p' * (3 << 20)


def head_of(request, status=b'200', lines=()):
    head = b'HTTP/1.1 ' + status + b' Status\r\n'
    head += raw_http.fields_of(request.id)
    return head + b''.join(line + b'\r\n' for line in lines)


def with_length(body):
    return b'Content-Length: %d\r\n\r\n' % len(body) + body


def in_chunks(body, trailers=b''):
    return (b'Transfer-Encoding: chunked\r\n\r\n%x\r\n' % len(body) + body +
            b'\r\n0\r\n' + trailers + b'\r\n')


class TemporaryFolderTest(unittest.TestCase):
    """A test with a folder for settings and logs."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)


class EntryOfRawUpstreams(TemporaryFolderTest):
    """One upstream of plain calls (`faulty`), and one of streams."""

    def setUp(self):
        super().setUp()
        self.store = entry_fleet.Store(self.folder)
        self.addCleanup(self.store.process.kill)
        self.faulty = self.add_upstream('i-faulty', 'ledger',
                                        raw_http.SMALL_BUFFER_BYTES)
        self.engine = self.add_upstream('i-engine', 'model',
                                        raw_http.SMALL_BUFFER_BYTES)
        self.engine.answers['/ask/sound'] = lambda request: Answer(
            (head_of(request, lines=(b'Content-Type: text/event-stream',)) +
             with_length(EVENTS),))
        self.store.put('op/config', self.document())
        self.entry = entry_fleet.Entry(self.folder, 'vm-1', self.store.address)
        self.addCleanup(self.entry.kill)
        fleet.wait_until('the entry is ready', self.entry.is_ready)
        self.calls = 0

    def add_upstream(self, name, service, receive_buffer_bytes=None):
        upstream = raw_http.RawUpstream(receive_buffer_bytes)
        self.addCleanup(upstream.close)
        self.store.register(name, service, upstream.address)
        return upstream

    @staticmethod
    def document():
        document = entry_fleet.operators_document(
            1, ('model', 'ledger'),
            [{'Name': 'acme', 'ApiKeys': [KEY], 'Prepaid': 10**9}])
        document['Routes'].append(
            {**document['Routes'][1], 'Name': 'read', 'Prefix': '/read/',
             'Kind': 'safe', 'MaxAttempts': 2})
        document['Limits']['MaxBodyBytes'] = 2 * raw_http.UPLOAD_BYTES
        return document

    def call(self, path, body=b'x', version=b'1.1'):
        self.calls += 1
        fields = {'Host': 'shop.example', 'X-Request-Id': f'r-{self.calls}',
                  'X-Request-Deadline': '5000',
                  'Authorization': f'Bearer {KEY}'}
        if path.startswith('/ask/'):
            fields.update({'X-Token-Count': f'{INPUT_TOKENS},20',
                           'X-Model': 'm'})
        return raw_http.call(self.entry.callers, path, fields, body, version)

    def upload(self, path, version=b'1.1', upstream=None):
        """Makes a call that is answered while its body is being written."""
        reply = self.call(path, b'u' * raw_http.UPLOAD_BYTES, version)
        # Else all of it would be in the kernel, and nothing would fail.
        self.assertGreater((upstream or self.faulty).unwritten_bytes, 0)
        return reply

    def expect_sound_call(self):
        """Also keeps the upstream from being ejected for its failures."""
        reply = self.call('/pay/sound')
        self.assertEqual((reply.status, reply.body()), (200, b'sound'))

    def last_log_line(self, name):
        words = {f'name={name}', f'request_id=r-{self.calls}'}

        def find():
            lines = [line for line in self.entry.log.read_text().splitlines()
                     if words <= set(line.split())]
            return lines[-1] if lines else None
        return fleet.wait_until(f'{name} is logged', find)

    def expect_charged(self, tokens):
        """Expects what the last call was charged."""
        self.assertIn(f' tokens={tokens} ',
                      self.last_log_line('request_finished'))

    def expect_broken(self, reply, cause):
        """Expects that the last call got a 502, and the log its cause."""
        self.assertEqual(reply.status, 502, reply.raw[:200])
        self.assertTrue(reply.body() is not None)
        self.assertNotIn(b'X-Server-Stamp', reply.head)
        self.assertIn(f' cause={cause} ',
                      self.last_log_line('upstream_call_broken'))

    def expect_refused(self, answer, cause):
        """Expects that a call with a broken answer fails, and that its
        connection carries no other call."""
        self.faulty.answers['/pay/broken'] = answer
        self.expect_sound_call()
        self.expect_broken(self.call('/pay/broken'), cause)
        connection = self.faulty.requests[-1].connection
        self.expect_sound_call()
        self.assertNotEqual(self.faulty.requests[-1].connection, connection)

    def expect_passed(self, answer, path='/pay/unusual'):
        self.faulty.answers[path] = answer
        return self.call(path)

    def expect_served_elsewhere(self, answer, body=b'x'):
        """Expects that another upstream serves a request that may be repeated,
        after it has met the broken answer."""
        self.add_upstream('i-sound', 'ledger')
        fleet.wait_until('both upstreams are known',
                         lambda: 'known=3 ready=3' in
                         self.entry.log.read_text())
        self.faulty.answers['/read/broken'] = answer
        for _ in range(8):
            reply = self.call('/read/broken', body)
            self.assertEqual((reply.status, reply.body()), (200, b'sound'))
        self.assertGreater(len(self.faulty.requests), 0)
