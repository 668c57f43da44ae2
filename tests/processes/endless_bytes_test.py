"""Tests that a faulty upstream, which sends bytes without end, neither ends the
entry's process nor holds up its other requests."""
import contextlib
import pathlib
import re
import socket
import tempfile
import threading
import unittest

import entry_fleet
import fleet

# What the smallest machine has.
MAX_MEMORY_KB = 110_000

HEAD = b'HTTP/1.1 500 X\r\n'
RESPONSES = {
    'no HTTP': b'',
    'a header line': HEAD + b'X-Filler: ',
    'a body of a huge length':
        HEAD + b'Content-Length: 1000000000000000000\r\n\r\n',
    'a body without a length': HEAD + b'\r\n',
    'a chunk of a huge size':
        HEAD + b'Transfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFF\r\n',
    'a chunk extension': HEAD + b'Transfer-Encoding: chunked\r\n\r\n2;',
}


class EndlessUpstream:
    """Sends `beginning` and then bytes without end on each connection."""

    def __init__(self, beginning):
        self.beginning = beginning
        self.calls = 0
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self.listener.getsockname()[1]}'
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                peer, _ = self.listener.accept()
                threading.Thread(target=self.serve, args=(peer,),
                                 daemon=True).start()

    def serve(self, peer):
        with contextlib.suppress(OSError), peer:
            if b'POST' in peer.recv(65536):
                self.calls += 1
            peer.sendall(self.beginning)
            while True:
                peer.sendall(b'x' * 65536)


class EndlessBytesTest(unittest.TestCase):
    def test_bytes_without_end_fail_one_request_only(self):
        for name, beginning in RESPONSES.items():
            with self.subTest(name), contextlib.ExitStack() as stack:
                self.play(stack, beginning)

    def play(self, stack, beginning):
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory()))
        store = entry_fleet.Store(folder)
        stack.callback(store.process.kill)
        sound = fleet.Process(
            folder, 'sound', ['standin_service', '--listen', '127.0.0.1:0',
                              '--upstream-id', 'i-sound'])
        stack.callback(sound.kill)
        faulty = EndlessUpstream(beginning)
        stack.callback(faulty.listener.close)
        store.register('i-sound', 'model', sound.address)
        store.register('i-faulty', 'ledger', faulty.address)
        store.put('op/config', entry_fleet.operators_document(
            1, ('model', 'ledger'),
            [{'Name': 'acme', 'ApiKeys': ['key-1'], 'Prepaid': 100_000}]))
        entry = entry_fleet.Entry(folder, 'vm-1', store.address)
        stack.callback(entry.kill)
        fleet.wait_until('vm-1 is ready', entry.is_ready)
        self.assertEqual(entry.call('/pay/1', 'key-1', 'r-1')[0], 502)
        # The router may take the faulty upstream out of use by now.
        self.assertIn(entry.call('/pay/1', 'key-1', 'r-2')[0], (502, 503))
        status, _, _ = entry.call('/ask/1', 'key-1', 'r-3', '10,20')
        self.assertEqual(status, 200)
        self.assertIsNone(entry.popen.poll())
        self.assertGreater(faulty.calls, 0)
        report = pathlib.Path(f'/proc/{entry.popen.pid}/status').read_text()
        peak = re.search(r'VmHWM:\s*(\d+) kB', report)
        self.assertLess(int(peak.group(1)), MAX_MEMORY_KB)


if __name__ == '__main__':
    unittest.main()
