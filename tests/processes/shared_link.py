"""The network link of a VM, which all connections to it share."""
import contextlib
import socket
import threading
import time

BLOCK_BYTES = 4096
# Small, so that what was sent and not passed on waits at its sender.
BUFFER_BYTES = 8192


class SharedLink:
    """Forwards TCP to `target`. What is sent to it passes at
    `bytes_per_second` for all connections together, each in turn; what comes
    back passes at once."""

    def __init__(self, target, bytes_per_second):
        host, port = target.rsplit(':', 1)
        self._target = (host, int(port))
        self._seconds_per_byte = 1 / bytes_per_second
        self._lock = threading.Lock()
        self._is_free_at = time.monotonic()
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                  BUFFER_BYTES)
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen(256)
        self.address = '127.0.0.1:%d' % self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                caller, _ = self._listener.accept()
                try:
                    router = socket.create_connection(self._target)
                except OSError:
                    caller.close()
                    continue
                for arguments in ((caller, router, self._wait_for_turn),
                                  (router, caller, lambda size: None)):
                    threading.Thread(target=self._forward, args=arguments,
                                     daemon=True).start()

    def _wait_for_turn(self, size):
        with self._lock:
            begin = max(self._is_free_at, time.monotonic())
            self._is_free_at = begin + size * self._seconds_per_byte
            end = self._is_free_at
        time.sleep(max(0, end - time.monotonic()))

    @staticmethod
    def _forward(source, sink, wait_for_turn):
        with contextlib.suppress(OSError):
            while block := source.recv(BLOCK_BYTES):
                wait_for_turn(len(block))
                sink.sendall(block)
        for end in (source, sink):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
