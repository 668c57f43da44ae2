"""A TCP forwarder that simulates the network between two processes."""
import select
import socket
import threading


class Link:
    """Forwards TCP to `target`; each direction can be cut separately. While
    a direction is cut, connections stay open and its data is dropped."""

    def __init__(self, target):
        host, port = target.rsplit(':', 1)
        self.target = (host, int(port))
        self.forwards_requests = True
        self.forwards_replies = True
        self.is_closed = False
        self.listener = socket.create_server(('127.0.0.1', 0), backlog=128)
        self.address = '127.0.0.1:%d' % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self, requests=True, replies=True):
        self.forwards_requests = not requests
        self.forwards_replies = not replies

    def restore(self):
        self.cut(requests=False, replies=False)

    def close(self):
        self.is_closed = True
        self.listener.close()

    def accept(self):
        while not self.is_closed:
            try:
                client_socket, _ = self.listener.accept()
                server_socket = socket.create_connection(self.target)
            except OSError:
                continue
            threading.Thread(target=self.forward,
                             args=(client_socket, server_socket),
                             daemon=True).start()

    def forward(self, client_socket, server_socket):
        with client_socket, server_socket:
            while not self.is_closed:
                ready, _, _ = select.select([client_socket, server_socket],
                                            [], [], 0.1)
                for source, sink, is_open in (
                        (client_socket, server_socket, self.forwards_requests),
                        (server_socket, client_socket, self.forwards_replies)):
                    if source not in ready:
                        continue
                    try:
                        data = source.recv(65536)
                        if not data:
                            return
                        # Data sent while the direction is cut is dropped.
                        if is_open:
                            sink.sendall(data)
                    except OSError:
                        return
