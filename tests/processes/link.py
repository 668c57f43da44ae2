"""A forwarder that stands for the network between two processes."""
import select
import socket
import threading


class Link:
    """Forwards TCP to `target`; each direction can be cut by itself. What is
    cut goes silent: connections stay open and carry nothing."""

    def __init__(self, target):
        host, port = target.rsplit(':', 1)
        self.target = (host, int(port))
        self.carries_requests = True
        self.carries_replies = True
        self.is_closed = False
        self.listener = socket.create_server(('127.0.0.1', 0), backlog=128)
        self.address = '127.0.0.1:%d' % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self, requests=True, replies=True):
        self.carries_requests = not requests
        self.carries_replies = not replies

    def mend(self):
        self.cut(requests=False, replies=False)

    def close(self):
        self.is_closed = True
        self.listener.close()

    def accept(self):
        while not self.is_closed:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection(self.target)
            except OSError:
                continue
            threading.Thread(target=self.carry, args=(near, far),
                             daemon=True).start()

    def carry(self, near, far):
        with near, far:
            while not self.is_closed:
                ready, _, _ = select.select([near, far], [], [], 0.1)
                for source, sink, is_open in (
                        (near, far, self.carries_requests),
                        (far, near, self.carries_replies)):
                    if source not in ready:
                        continue
                    try:
                        data = source.recv(65536)
                        if not data:
                            return
                        # What is sent into a cut never arrives.
                        if is_open:
                            sink.sendall(data)
                    except OSError:
                        return
