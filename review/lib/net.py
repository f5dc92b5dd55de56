"""Small HTTP/1.1 helpers for the stand-ins of the review cases. Standard library only."""

import socket


class Closed(Exception):
    """The peer closed or reset the connection."""


class Reader:
    """Reads lines and bytes from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def _fill(self):
        piece = self.sock.recv(65536)
        if not piece:
            raise Closed("end of the connection")
        self.buffer += piece

    def line(self):
        while b"\n" not in self.buffer:
            self._fill()
        line, self.buffer = self.buffer.split(b"\n", 1)
        return line.rstrip(b"\r").decode("latin-1")

    def take(self, count):
        while len(self.buffer) < count:
            self._fill()
        taken, self.buffer = self.buffer[:count], self.buffer[count:]
        return taken


def read_head(reader):
    """Returns the first line and the headers, names in lower case."""
    first = reader.line()
    headers = {}
    while True:
        line = reader.line()
        if not line:
            return first, headers
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()


def read_body(reader, headers):
    """Reads the body of a request, or of a response with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int(reader.line().split(";")[0], 16)
            if size == 0:
                while reader.line():
                    pass
                return body
            body += reader.take(size)
            reader.line()
    return reader.take(int(headers.get("content-length", "0")))


def connect(address, timeout):
    sock = socket.create_connection(address, timeout=timeout)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def listen(host, port=0):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(256)
    return sock


def split_address(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)
