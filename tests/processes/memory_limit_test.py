"""Guards against bodies that take an entry process beyond its memory limit
while upstreams read slowly: the platform ends such a process."""
import pathlib
import re
import socket
import tempfile
import threading
import unittest

import entry_fleet
import fleet

MEMORY_MB = 64
BODY = b'x' * (1 << 20)
UPLOADS = 48


class MemoryLimitTest(unittest.TestCase):
    def setUp(self):
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)
        self.store = entry_fleet.Store(self.folder)
        # It accepts connections and reads nothing.
        self.upstream = socket.create_server(('127.0.0.1', 0), backlog=100)
        host, port = self.upstream.getsockname()
        self.store.register('i-1', 'model', f'{host}:{port}',
                            slots=64)
        self.store.put('op/config', entry_fleet.operators_document(
            1, ('model', 'ledger'),
            [{'Name': 'acme', 'ApiKeys': ['key-1'], 'Prepaid': 10**9}],
            TimeoutMs=8000, SloMs=8000))
        self.entry = entry_fleet.Entry(self.folder, 'vm-1', self.store.address,
                                       memory_mb=MEMORY_MB)
        self.peak_mb = 0
        self.statuses = []
        self.is_over = threading.Event()

    def tearDown(self):
        self.is_over.set()
        self.entry.kill()
        self.upstream.close()
        self.store.process.kill()
        self._folder.cleanup()

    def watch_memory(self):
        path = pathlib.Path(f'/proc/{self.entry.popen.pid}/status')
        while not self.is_over.wait(0.01):
            found = re.search(r'VmRSS:\s+(\d+)', path.read_text())
            if found:
                self.peak_mb = max(self.peak_mb, int(found[1]) / 1000)

    def upload(self, number):
        status, headers, _ = fleet.call(
            self.entry.callers, 'POST', '/ask/1', BODY,
            {'Host': 'shop.example', 'X-Request-Id': f'r-{number}',
             'X-Request-Deadline': '6000', 'Authorization': 'Bearer key-1',
             'X-Token-Count': '10,5', 'X-Model': 'm'})
        self.statuses.append((status, 'Retry-After' in headers))

    def test_bodies_do_not_exceed_the_memory_limit(self):
        fleet.wait_until('the entry is ready', self.entry.is_ready)
        watcher = threading.Thread(target=self.watch_memory)
        watcher.start()
        uploads = [threading.Thread(target=self.upload, args=(number,))
                   for number in range(UPLOADS)]
        for one in uploads:
            one.start()
        for one in uploads:
            one.join()
        self.is_over.set()
        watcher.join()
        self.assertIsNone(self.entry.popen.poll())
        self.assertLess(self.peak_mb, MEMORY_MB)
        self.assertEqual(len(self.statuses), UPLOADS)
        self.assertIn((503, True), self.statuses)


if __name__ == '__main__':
    unittest.main()
