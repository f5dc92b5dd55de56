"""Stand-in of a backend server, as a process of its own. Takes its settings as JSON in the first argument, and prints
one JSON line for each thing that happens. Further JSON lines on the standard input change the settings."""

import json
import os
import socket
import sys
import threading
import time

import net

SETTINGS = json.loads(sys.argv[1])
LOCK = threading.Lock()
STATE = {"sequence": 0, "layers": None, "running": 0}


def note(**fields):
    with LOCK:
        sys.stdout.write(json.dumps(dict(fields, at=time.time(), server=SETTINGS["id"])) + "\n")
        sys.stdout.flush()


def read_changes():
    for line in sys.stdin:
        SETTINGS.update(json.loads(line))


def common(request_id):
    headers = {"Godwitdeal-Response-Stamp": "s.%s.%s" % (SETTINGS["id"], request_id),
               "Godwitdeal-Request-Id": request_id,
               "Godwitdeal-Instance-Id": SETTINGS["id"],
               "Godwitdeal-Server-Load": "%d,0,%d" % (STATE["running"], SETTINGS.get("slots", 64))}
    headers.update(SETTINGS.get("headers", {}))
    return headers


def send(sock, status, headers, body=b"", length=True):
    lines = ["HTTP/1.1 %d X" % status] + ["%s: %s" % pair for pair in headers.items()]
    if length:
        lines.append("Content-Length: %d" % len(body))
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def take_order(sock, body):
    order = json.loads(body)
    note(event="order", order=order)
    if order.get("Operation") != "place":
        send(sock, 400, {})
        return
    if order.get("Expect") is not None and order["Expect"] != STATE["sequence"]:
        send(sock, 409, {})
        return
    STATE["sequence"] += 1
    send(sock, 202, {})

    def load():
        time.sleep(0.2)
        STATE["layers"] = {"From": order["From"], "To": order["To"], "Version": 1}
        note(event="layers", layers=STATE["layers"])

    threading.Thread(target=load, daemon=True).start()


def report(sock):
    answer = {"Stage": "both", "Models": [], "Busy": False, "Sequence": STATE["sequence"], "Waiting": 0,
              "Running": STATE["running"], "KvUsed": 0, "KvTotal": 100000, "Handles": 0, "pace": 1.0,
              "Layers": STATE["layers"], "Kind": SETTINGS.get("kind", ""), "Stalled": [],
              "born": SETTINGS["born"]}
    send(sock, 200, dict({"Content-Type": "application/json"}, **SETTINGS.get("headers", {})),
         json.dumps(answer).encode())


def crash(request_id):
    note(event="crash", request=request_id)
    os._exit(9)


def stream(sock, headers, request_id, crashes_after):
    """Sends whole events, each in one write, up to the last one of the request."""
    total = int(headers.get("godwitdeal-token-counts", "0,90").split(",")[1]) // 3
    first = int(headers.get("last-event-id", "0")) + 1
    answer = common(request_id)
    answer["Content-Type"] = "text/event-stream"
    is_chunked = SETTINGS.get("framing", "chunked") == "chunked"
    if is_chunked:
        answer["Transfer-Encoding"] = "chunked"
    else:
        answer["Connection"] = "close"
    time.sleep(0.02)
    send(sock, 200, answer, length=False)
    for number in range(first, total + 1):
        event = ("id: %d\ndata: piece %d of %d\n\n" % (number, number, total)).encode()
        sock.sendall(b"%x\r\n%s\r\n" % (len(event), event) if is_chunked else event)
        time.sleep(SETTINGS.get("event_s", 0.05))
        if crashes_after is not None and number - first + 1 == crashes_after:
            crash(request_id)
    if is_chunked:
        sock.sendall(b"0\r\n\r\n")
    note(event="finished", request=request_id, last=total)
    return is_chunked


def call(sock, request_id):
    time.sleep(SETTINGS.get("work_s", 0.03))
    send(sock, 200, common(request_id), ("answer of " + SETTINGS["id"]).encode())
    note(event="finished", request=request_id)
    return True


def handle(sock, reader):
    first, headers = net.read_head(reader)
    body = net.read_body(reader, headers)
    method, target, _ = first.split(" ", 2)
    request_id = headers.get("godwitdeal-request-id", "")
    expected = headers.get("godwitdeal-target-instance")
    if expected not in (None, SETTINGS["id"]):
        send(sock, 421, {"Godwitdeal-Instance-Id": SETTINGS["id"]})
        return True
    if target == "/api/report":
        report(sock)
        return True
    if target == "/api/order":
        take_order(sock, body)
        return True
    if target == SETTINGS.get("health", "/health"):
        send(sock, 200, {"Godwitdeal-Instance-Id": SETTINGS["id"]})
        return True
    note(event="runs", request=request_id, target=target, tenant=headers.get("godwitdeal-tenant"),
         hops=headers.get("godwitdeal-hop-count"), last=headers.get("last-event-id"))
    parts = [part.split(":")[0] for part in headers.get("godwitdeal-prompt-prefix", "").split(",")]
    crashes_after = None
    if SETTINGS.get("deadly_part") in parts[:-1]:
        # The server crashes as it begins to write the answer, or after its first events.
        crashes_after = SETTINGS.get("deadly_after_events", 0)
        if crashes_after == 0:
            time.sleep(0.05)
            crash(request_id)
    STATE["running"] += 1
    try:
        if SETTINGS["streams"]:
            return stream(sock, headers, request_id, crashes_after)
        return call(sock, request_id)
    finally:
        STATE["running"] -= 1


def serve(sock):
    reader = net.Reader(sock)
    try:
        while handle(sock, reader):
            pass
    except (net.Closed, OSError, ValueError) as error:
        note(event="connection ended", error=str(error))
    sock.close()


def main():
    host, port = net.split_address(SETTINGS["address"])
    listener = net.listen(host, port)
    threading.Thread(target=read_changes, daemon=True).start()
    note(event="listens", address="%s:%d" % listener.getsockname())
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


main()
