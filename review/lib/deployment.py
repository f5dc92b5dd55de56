"""A small deployment on loopback addresses: store, entry hosts and servers, each host and server a process."""

import json
import os
import queue
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

import net
from store import Store

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
BINARY = os.path.join(ROOT, "target", "release", "godwitdeal")

HOST_NAME = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.began = time.time()

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.time() - self.began, text))
            self.file.flush()


class Server:
    """A backend server process, and its entry in the store."""

    def __init__(self, site, name, service, zone, **settings):
        self.site, self.name, self.service, self.zone = site, name, service, zone
        self.settings = dict({"id": name, "address": site.next_address() + ":0", "streams": False,
                              "born": int(time.time() * 1000), "kind": ""}, **settings)
        self.state, self.layers = "ready", None
        self.events, self.lock = [], threading.Lock()
        environment = dict(os.environ, PYTHONPATH=HERE)
        self.process = subprocess.Popen(
            [sys.executable, os.path.join(HERE, "server.py"), json.dumps(self.settings)],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True, env=environment)
        site.processes.append(self.process)
        first = json.loads(self.process.stdout.readline())
        self.address = first["address"]
        threading.Thread(target=self._read, daemon=True).start()
        self.write_entry()

    def _read(self):
        for line in self.process.stdout:
            event = json.loads(line)
            with self.lock:
                self.events.append(event)
            if event["event"] == "layers":
                self.layers = event["layers"]
                self.write_entry()
            words = " ".join("%s=%s" % (k, v) for k, v in event.items() if k not in ("at", "server", "event"))
            self.site.record.write("server %s: %s %s" % (self.name, event["event"], words))

    def of(self, kind):
        with self.lock:
            return [event for event in self.events if event["event"] == kind]

    def entry(self):
        return {"Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1",
                "Slots": self.settings.get("slots", 64), "State": self.state, "ColdRemainingMs": 0,
                "Kind": self.settings["kind"], "Layers": self.layers, "Sequence": 1,
                "born": self.settings["born"]}

    def write_entry(self):
        """Writes what is new. Heartbeats alone do not change the entry in the store."""
        self.site.store.put("servers", self.name, self.entry())

    def change(self, **settings):
        self.process.stdin.write(json.dumps(settings) + "\n")
        self.process.stdin.flush()

    def drain(self):
        self.state = "draining"
        self.write_entry()
        self.site.record.write("server %s: the store has accepted that it is draining" % self.name)

    def unlist(self):
        self.site.store.remove("servers", self.name)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()


class Host:
    """An entry host: the project's own program with the command of the deploy file."""

    def __init__(self, site, name, zone, is_first_start=True, ip=None, store=None):
        self.site, self.name, self.zone = site, name, zone
        self.ip = ip or site.next_address()
        self.store = store or site.store.address
        self.front, self.ready = (self.ip, 8227), (self.ip, 8220)
        self.path = os.path.join(site.folder, name + ".toml")
        self.log_path = os.path.join(site.folder, name + ".log")
        self.start(is_first_start)

    def start(self, is_first_start):
        with open(self.path, "w") as file:
            file.write(self.site.settings(self, is_first_start))
        self.log = open(self.log_path, "a")
        environment = {"GODWITDEAL_SETTINGS": self.path, "PATH": os.environ.get("PATH", ""), "HOME": self.site.folder}
        self.process = subprocess.Popen([BINARY, "gateway"], cwd=ROOT, env=environment,
                                        stdout=self.log, stderr=subprocess.STDOUT)
        self.site.processes.append(self.process)

    def is_ready(self):
        try:
            with urllib.request.urlopen("http://%s:%d/api/readiness" % self.ready, timeout=1) as reply:
                return reply.status == 200
        except OSError:
            return False

    def signal(self, number):
        self.process.send_signal(number)

    def log_lines(self, *words):
        with open(self.log_path) as file:
            return [line for line in file if all(word in line for word in words)]


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.end, self.took = None, {}, b"", "", 0.0

    def is_whole(self):
        """Whether the answer is complete by the protocol."""
        return self.end == "whole"


class Site:
    def __init__(self, folder_of_case, zones, engine=None, **options):
        if not os.path.exists(BINARY):
            raise CannotRun("the program is not built")
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="godwit-review-")
        self.octets = (random.randint(20, 250), random.randint(1, 250))
        self.last_address = 0
        self.zones, self.processes, self.options = zones, [], options
        self.store = Store(self.next_address())
        self.engine = engine
        self.counter, self.counter_lock = 0, threading.Lock()

    def next_address(self):
        self.last_address += 1
        high, low = divmod(self.last_address, 250)
        return "127.%d.%d.%d" % (self.octets[0], self.octets[1] + high, low + 1)

    def settings(self, host, is_first_start):
        zones = "\n".join('%s = "gauteng"' % zone for zone in self.zones)
        return SETTINGS % dict(name=host.name, ip=host.ip, zone=host.zone, zones=zones, store=host.store,
                               first="true" if is_first_start else "false")

    def configuration(self, version, **changes):
        """A configuration as the site files have it: a model service, a plain service, one tenant."""
        def route(prefix, kind, service, timeout, target, attempts, **more):
            return dict({"Name": "r-" + prefix.strip("/"), "Host": HOST_NAME, "PathPrefix": prefix, "Kind": kind,
                         "TimeoutMs": timeout, "TargetLatencyMs": target, "Priority": 1, "Service": service,
                         "Attempts": attempts, "Public": False}, **more)
        routes = [
            route("/draft/", "streaming", "pool", 20000, 500, 2, StickySessions=True, Resumable=True, TargetGapMs=200),
            route("/status/", "non_idempotent", "panel", changes.get("call_timeout", 2500), 150, 1),
            route("/page/", "idempotent", "panel", changes.get("call_timeout", 2500), 150, 2),
        ]
        engine = self.engine or ENGINE
        return {"Version": version, "Routes": routes + changes.get("routes", []),
                "Services": [{"Name": "pool", "HealthPath": "/health", "MaxConnections": 978, "Protocol": "h1",
                              "Tls": False, "Engine": engine},
                             {"Name": "panel", "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1",
                              "Tls": False}],
                "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                           "IdleTimeoutMs": 15000},
                "Tenants": changes.get("tenants", [{"Name": "hule930", "ApiKeys": [KEY]}])}

    def wait_until(self, what, condition, seconds=20):
        until = time.time() + seconds
        while time.time() < until:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun("timed out waiting for " + what)

    def next_request_id(self):
        with self.counter_lock:
            self.counter += 1
            return "%08x%08x" % (random.getrandbits(32), self.counter)

    def request(self, host, method, path, body=b"", deadline_ms=20000, headers=None, request_id=None, key=KEY,
                sock=None):
        """One client attempt, on a new connection unless one is given."""
        request_id = request_id or self.next_request_id()
        answer = Answer()
        answer.request_id = request_id
        answer.sent_at = began = time.time()
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST_NAME, "Godwitdeal-Request-Id: " + request_id,
                 "Godwitdeal-Deadline-Ms: %d" % deadline_ms, "Authorization: Bearer " + key]
        lines += ["%s: %s" % pair for pair in (headers or {}).items()]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        self.record.write("client -> %s: %s %s id=%s" % (host.name, method, path, request_id))
        is_own = sock is None
        try:
            if is_own:
                sock = net.connect(host.front, 1.0)
            sock.settimeout(deadline_ms / 1000 + 1)
            sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            reader = net.Reader(sock)
            first, answer.headers = net.read_head(reader)
            answer.status = int(first.split(" ")[1])
            if answer.headers.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size = int(reader.line(), 16)
                    if size == 0:
                        reader.line()
                        break
                    answer.body += reader.take(size)
                    reader.line()
            else:
                answer.body = reader.take(int(answer.headers["content-length"]))
            answer.end = "whole"
        except net.Closed:
            answer.end = "closed"
        except OSError as error:
            answer.end = "error: %s" % error
        finally:
            if is_own and sock is not None:
                sock.close()
        answer.took = time.time() - began
        self.record.write("client <- %s: id=%s status=%s end=%s bytes=%d after %.3f s" % (
            host.name, request_id, answer.status, answer.end, len(answer.body), answer.took))
        return answer

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except OSError:
                    pass
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


ENGINE = {
    "Slots": 192, "KvCacheTokens": 100000, "KvTokenBytes": 918000, "LinkMbps": 400000.0, "Stride": 3,
    "Models": [{"Name": "daka510000", "pace": 1.0, "LoadTimeS": 2.0, "WarmS": 1.0}],
    "step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956, "read_per_s": 105000.0, "pairs_per_m": 0.309,
    "chunk": 512, "report_lag_ms": 200.0, "LoadsPerS": 0.0, "loads_at_once": 5, "delays": [],
    "usual": {"prompt": 774, "answer": 200}, "Layers": 8, "LayerMb": 1750.0, "ActivationBytes": 45900,
    "PipeMbps": 26000.0,
    "Kinds": [{"Name": "a100", "SizeMb": 180000.0, "pace": 2.4, "ReadFactor": 3.2}],
}

SETTINGS = """NodeName = "%(name)s"
Role = "gateway"
MachineClass = "front"
Serves = ["front"]
IpAddress = "%(ip)s"
Zone = "%(zone)s"
Region = "gauteng"
InternalPorts = [7340,7355]
SeedNodes = []
FirstStart = %(first)s
ToleranceMember = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatIntervalMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[Zones]
%(zones)s
[ListenAddresses]
Front = "%(ip)s:8227"
Ready = "%(ip)s:8220"
Control = "%(ip)s:8229"
[Limits]
CpuShare = 0.25
CpuCores = 1
MemoryMb = 260
FileDescriptors = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
AddressReuseS = 2
ContactWindowMs = 3000
AckTimeoutMs = 4000
CatchUpS = 4
DrainTimeoutMs = 2000
GracePeriodS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxStretchMs = 5000
StrictRevocation = false
RevokeTimeoutMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetExtraRetries = 200
RecoveryS = 12
PassMs = 120
RetryAfterS = 0
stall_ms = 3000
RequireFencing = true
[Platform]
Address = "%(store)s"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
"""


def run_case(folder, zones, main):
    """Runs a case, ends all its processes, and exits with its result."""
    site = None
    # Ends by a signal, too, only after its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        site = Site(folder, zones)
        result = main(site)
    except CannotRun as error:
        result = 2
        print("the case could not run:", error)
    finally:
        if site:
            site.close()
    print("broken" if result == 1 else "held" if result == 0 else "not run")
    sys.exit(result)
