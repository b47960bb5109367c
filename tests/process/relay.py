"""A TCP relay that can stall its traffic or close its connections."""

import socket
import threading

BLOCK_BYTES = 65536


class Relay:
    """Forwards connections to ADDRESS to TARGET."""

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.flowing = threading.Event()
        self.flowing.set()
        self.lock = threading.Lock()
        self.sockets = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(64)
        threading.Thread(target=self._accept, daemon=True).start()

    def stall(self):
        """Stop forwarding; connections stay open."""
        self.flowing.clear()

    def resume(self):
        """Continue forwarding, starting with the bytes held back."""
        self.flowing.set()

    def cut(self):
        """Close the current connections."""
        with self.lock:
            closing, self.sockets = self.sockets, set()
        for sock in closing:
            _close(sock)

    def close(self):
        _close(self.listener)
        self.cut()
        self.resume()

    def _accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(client,),
                             daemon=True).start()

    def _connect(self, client):
        self.flowing.wait()
        try:
            server = socket.create_connection(self.target, timeout=5)
            server.settimeout(None)
        except OSError:
            _close(client)
            return
        with self.lock:
            self.sockets |= {client, server}
        for source, destination in ((client, server), (server, client)):
            threading.Thread(target=self._forward, args=(source, destination),
                             daemon=True).start()

    def _forward(self, source, destination):
        try:
            while block := source.recv(BLOCK_BYTES):
                self.flowing.wait()
                destination.sendall(block)
        except OSError:
            pass
        self.flowing.wait()
        with self.lock:
            self.sockets -= {source, destination}
        _close(source)
        _close(destination)


def _close(sock):
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
