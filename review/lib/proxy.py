"""A TCP proxy on a loopback address that can be cut, as a partition between two machines."""

import socket
import threading

import net


def reset(sock):
    """Ends a connection so that the peer sees a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        sock.close()
    except OSError:
        pass


class Proxy:
    def __init__(self, host, target):
        self.host, self.target = host, net.split_address(target)
        self.pairs, self.lock = [], threading.Lock()
        self.resets_new = False
        self.listener = net.listen(host)
        self.port = self.listener.getsockname()[1]
        self.address = "%s:%d" % (host, self.port)
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()

    def _accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
                if self.resets_new:
                    reset(sock)
                    continue
                other = net.connect(self.target, 5)
            except OSError:
                return
            other.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.pairs.append((sock, other))
            for one, two in ((sock, other), (other, sock)):
                threading.Thread(target=self._copy, args=(one, two), daemon=True).start()

    def _copy(self, source, sink):
        try:
            while True:
                piece = source.recv(65536)
                if not piece:
                    break
                sink.sendall(piece)
        except OSError:
            pass
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def reset_all(self):
        """Resets all connections, and new ones as soon as they are open."""
        self.resets_new = True
        with self.lock:
            pairs, self.pairs = self.pairs, []
        for sock, other in pairs:
            reset(sock)
            reset(other)

    def reset_none(self):
        self.resets_new = False

    def cut(self):
        """Resets all connections and refuses new ones."""
        listener, self.listener = self.listener, None
        # Wakes the thread that waits for a connection.
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        with self.lock:
            pairs, self.pairs = self.pairs, []
        for sock, other in pairs:
            reset(sock)
            reset(other)

    def heal(self):
        self.listener = net.listen(self.host, self.port)
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()
