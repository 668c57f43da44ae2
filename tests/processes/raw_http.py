"""A stand-in for an upstream that sends prepared bytes, and a caller that reads
bytes: neither uses a library that would refuse or repair a broken message."""
import contextlib
import dataclasses
import re
import socket
import struct
import threading
import time

import fleet

# With a small buffer of the receiver, few bytes of an upload are under way.
SMALL_BUFFER_BYTES = 4096
# Larger than what the buffers of both kernels hold.
UPLOAD_BYTES = 12 << 20


@dataclasses.dataclass
class Request:
    """A request as the stand-in received it."""
    connection: int
    path: str
    id: str
    length: int


@dataclasses.dataclass
class Answer:
    """What the stand-in sends, in parts that arrive one after the other; and
    how the connection ends: it is kept, closed or reset."""
    parts: tuple
    end: str = 'keep'
    # Whether the upload is left unread, so that it is still being written as
    # the answer is sent and the connection ends.
    is_early: bool = False
    # How long the connection is kept after the last part.
    pause_s: float = 0


def fields_of(request_id):
    """The fields that an upstream of the platform adds to its answers."""
    return (f'X-Request-Id: {request_id}\r\n'
            'X-Server-Stamp: stamp-1\r\n').encode()


def sound_answer(request_id, body=b'sound'):
    return (b'HTTP/1.1 200 OK\r\n' + fields_of(request_id) +
            b'Content-Length: %d\r\n\r\n' % len(body) + body)


class RawUpstream:
    """Answers a request with the `Answer` that the function for its path in
    `answers` returns for it, or else `default_answer`, which is sound."""

    def __init__(self, receive_buffer_bytes=None):
        self.answers = {}
        self.default_answer = lambda request: Answer(
            (sound_answer(request.id),))
        self.requests = []
        # Bytes of the last early answered upload that its sender had not yet
        # given to its kernel. No more of it is read from then on.
        self.unwritten_bytes = None
        self._connections = 0
        self.listener = socket.socket()
        if receive_buffer_bytes is not None:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                     receive_buffer_bytes)
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen()
        self.address = '127.0.0.1:%d' % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self.listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                peer, _ = self.listener.accept()
                self._connections += 1
                threading.Thread(target=self._serve,
                                 args=(peer, self._connections),
                                 daemon=True).start()

    def _serve(self, peer, connection):
        received = b''
        with contextlib.suppress(OSError), peer:
            peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                while b'\r\n\r\n' not in received:
                    block = peer.recv(2048)
                    if not block:
                        return
                    received += block
                head, received = received.split(b'\r\n\r\n', 1)
                request = self._read_head(head, connection)
                self.requests.append(request)
                answer = self.answers.get(
                    request.path, self.default_answer)(request)
                if answer.is_early:
                    self.unwritten_bytes = wait_for_full_buffers(
                        peer, request.length - len(received))
                else:
                    while len(received) < request.length:
                        received += peer.recv(65536)
                    received = received[request.length:]
                for number, part in enumerate(answer.parts):
                    if number > 0:
                        time.sleep(0.1)
                    peer.sendall(part)
                time.sleep(answer.pause_s)
                if answer.end != 'keep':
                    self._end(peer, answer.end)
                    return

    @staticmethod
    def _read_head(head, connection):
        lines = head.decode('latin-1').split('\r\n')
        fields = dict(line.lower().split(': ', 1) for line in lines[1:])
        return Request(connection, lines[0].split(' ')[1],
                       fields.get('x-request-id', ''),
                       int(fields.get('content-length', 0)))

    @staticmethod
    def _end(peer, end):
        if end == 'reset':
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack('ii', 1, 0))
            return
        # The end of the stream arrives before the reset that unread bytes cause
        # as the connection is closed.
        peer.shutdown(socket.SHUT_WR)
        time.sleep(0.1)


def wait_for_full_buffers(peer, bytes_due):
    """Waits until the sender's kernel takes no more of an upload, of which
    `bytes_due` bytes were not read here; returns how many of them are still in
    the sender's process."""
    before = None
    while True:
        unread = len(peer.recv(UPLOAD_BYTES, socket.MSG_PEEK))
        now = (unread, send_queue_of(peer.getpeername(), peer.getsockname()))
        if now == before:
            return bytes_due - sum(now)
        before = now
        time.sleep(0.1)


def send_queue_of(local, remote):
    """The bytes that a kernel holds for a connection from `local`, sent and not
    acknowledged or not sent; 0 if there is none."""
    def text_of(address):
        number, = struct.unpack('=I', socket.inet_aton(address[0]))
        return f'{number:08X}:{address[1]:04X}'

    with open('/proc/net/tcp', encoding='ascii') as table:
        for line in table:
            words = line.split()
            if words[1:3] == [text_of(local), text_of(remote)]:
                return int(words[4].split(':')[0], 16)
    return 0


@dataclasses.dataclass
class Reply:
    """The bytes that a caller received, and whether their connection was
    reset."""
    raw: bytes
    is_reset: bool

    @property
    def head(self):
        return self.raw.partition(b'\r\n\r\n')[0] + b'\r\n'

    @property
    def status(self):
        found = re.match(rb'HTTP/1\.[01] ([0-9]{3}) ', self.raw)
        return int(found[1]) if found else None

    def field(self, name):
        found = re.search(rb'\r\n' + re.escape(name) + rb': ([^\r]*)\r\n',
                          self.head)
        return found[1] if found else None

    def body(self):
        """The body of a complete answer; None if it is not complete by its
        length, its last chunk, or, without both, by a close."""
        rest = self.raw.partition(b'\r\n\r\n')[2]
        length = self.field(b'Content-Length')
        if length is not None:
            return rest if len(rest) == int(length) else None
        if self.field(b'Transfer-Encoding') == b'chunked':
            return self._chunked_body(rest)
        is_complete = b'\r\n\r\n' in self.raw and not self.is_reset
        return rest if is_complete else None

    @staticmethod
    def _chunked_body(rest):
        body = b''
        while b'\r\n' in rest:
            size, _, rest = rest.partition(b'\r\n')
            length = int(size, 16)
            if length == 0:
                return body if rest == b'\r\n' else None
            body += rest[:length]
            rest = rest[length + 2:]
        return None


def call(address, path, fields, body=b'x', version=b'1.1'):
    """Sends one request over a new connection and reads until its end."""
    host, port = address.rsplit(':', 1)
    with socket.create_connection((host, int(port)),
                                  fleet.TIMEOUT_S) as connection:
        head = b'POST %s HTTP/%s\r\nConnection: close\r\n' % (
            path.encode(), version)
        for name, value in fields.items():
            head += f'{name}: {value}\r\n'.encode()
        connection.sendall(head + b'Content-Length: %d\r\n\r\n' % len(body))
        connection.sendall(body)
        raw = b''
        try:
            while True:
                block = connection.recv(65536)
                if not block:
                    return Reply(raw, False)
                raw += block
        except ConnectionResetError:
            return Reply(raw, True)
