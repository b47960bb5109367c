"""A TCP relay whose traffic can be stalled, or cut, on order."""

import socket
import threading

BLOCK = 65536


class Relay:
    """Passes each connection made to ADDRESS on to TARGET."""

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
        """Holds all bytes back, without closing anything."""
        self.flowing.clear()

    def flow(self):
        """Lets the bytes that were held back go on."""
        self.flowing.set()

    def cut(self):
        """Closes the present connections."""
        with self.lock:
            gone, self.sockets = self.sockets, set()
        for sock in gone:
            _close(sock)

    def close(self):
        _close(self.listener)
        self.cut()
        self.flow()

    def _accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(near,),
                             daemon=True).start()

    def _connect(self, near):
        self.flowing.wait()
        try:
            far = socket.create_connection(self.target, timeout=5)
            far.settimeout(None)
        except OSError:
            _close(near)
            return
        with self.lock:
            self.sockets |= {near, far}
        for one, other in ((near, far), (far, near)):
            threading.Thread(target=self._pass, args=(one, other),
                             daemon=True).start()

    def _pass(self, one, other):
        try:
            while block := one.recv(BLOCK):
                self.flowing.wait()
                other.sendall(block)
        except OSError:
            pass
        self.flowing.wait()
        with self.lock:
            self.sockets -= {one, other}
        _close(one)
        _close(other)


def _close(sock):
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
