"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it: objects, conditional writes, lists, watches."""

import json
import socket
import threading
import time
from urllib.parse import parse_qs, unquote, urlsplit

import net


class Store:
    def __init__(self, host):
        self.lock = threading.Condition()
        self.revision = 10
        self.objects = {}
        self.events = []
        self.listener = net.listen(host)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self._accept, args=(self.listener, None), daemon=True).start()

    def another_address(self, host, view):
        """Listens at another address as well, at which `view` replaces each object in an answer, as for a host that
        reaches the servers by other ways."""
        listener = net.listen(host)
        threading.Thread(target=self._accept, args=(listener, view), daemon=True).start()
        return "%s:%d" % listener.getsockname()

    def _accept(self, listener, view):
        while True:
            sock, _ = listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock, view), daemon=True).start()

    def _serve(self, sock, view):
        reader = net.Reader(sock)
        try:
            while True:
                first, headers = net.read_head(reader)
                body = net.read_body(reader, headers)
                method, target, _ = first.split(" ", 2)
                status, answer = self._handle(method, target, body)
                if view:
                    answer = self._as_seen(view, answer)
                data = json.dumps(answer).encode()
                head = "HTTP/1.1 %d X\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                sock.sendall((head % (status, len(data))).encode() + data)
        except (net.Closed, OSError, ValueError):
            pass
        finally:
            sock.close()

    def _as_seen(self, view, answer):
        if isinstance(answer, dict):
            if "Metadata" in answer:
                return view(answer)
            return {key: self._as_seen(view, value) for key, value in answer.items()}
        if isinstance(answer, list):
            return [self._as_seen(view, item) for item in answer]
        return answer

    def _handle(self, method, target, body):
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path.strip("/").split("/")]
        if path[:2] != ["api", "objects"] or len(path) < 3:
            return 404, None
        kind, name = path[2], path[3] if len(path) > 3 else None
        if method == "GET" and name is None:
            return self._watch(kind, query) if "Watch" in query else self._list(kind, query)
        with self.lock:
            known = self.objects.get((kind, name))
            if method == "GET":
                return (200, known) if known else (404, None)
            sent = json.loads(body) if body else {}
            expected = (sent.get("Metadata") or {}).get("Revision") or query.get("Revision")
            if method == "POST" and known:
                return 409, known
            if method in ("PUT", "DELETE") and not known:
                return 404, None
            if known and expected is not None and int(expected) != known["Metadata"]["Revision"]:
                return 409, known
            if method == "DELETE":
                self._remove(kind, name)
                return 200, known
            if known and method == "PUT" and known["Specification"] == sent.get("Specification"):
                return 200, known
            created = self._write(kind, name, sent.get("Specification"))
            return (201 if method == "POST" else 200), created

    def _list(self, kind, query):
        with self.lock:
            items = [obj for (of, _), obj in sorted(self.objects.items()) if of == kind]
            items = [obj for obj in items if obj["Metadata"]["Name"] > query.get("After", "")]
            return 200, {"Items": items[:500], "HasMore": len(items) > 500, "At": self.revision}

    def _watch(self, kind, query):
        since = int(query["Watch"])
        until = time.monotonic() + min(int(query.get("WaitMs", "0")), 30000) / 1000
        with self.lock:
            while True:
                found = [event for at, of, event in self.events if of == kind and at > since]
                left = until - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "At": self.revision}
                self.lock.wait(left)

    def _write(self, kind, name, specification):
        self.revision += 1
        metadata = {"Name": name, "Revision": self.revision, "Created": 1, "Finalizers": [],
                    "DeletionPending": False}
        obj = {"Metadata": metadata, "Specification": specification, "Status": None}
        self.objects[(kind, name)] = obj
        self.events.append((self.revision, kind, {"Removed": False, "Object": obj}))
        self.lock.notify_all()
        return obj

    def _remove(self, kind, name):
        known = self.objects.pop((kind, name), None)
        if known:
            self.revision += 1
            self.events.append((self.revision, kind, {"Removed": True, "Object": known}))
            self.lock.notify_all()

    def put(self, kind, name, specification):
        """Writes an object, and returns when the store has accepted it."""
        with self.lock:
            return self._write(kind, name, specification)

    def remove(self, kind, name):
        with self.lock:
            self._remove(kind, name)

    def names(self, kind):
        with self.lock:
            return [name for of, name in self.objects if of == kind]
