"""A server leaves without reporting that it drains, while the host that another one follows is cut off from the store."""

import os
import re
import threading
import time

from deployment import CannotRun, Host, Server, run_case
from proxy import Proxy

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0
# "It continues serving for DrainTimeoutMs ... and a little longer"
LINGER_S = 0.12
# core_cut in the site file: one machine, 5.5 s
CUT_S = 5.5
LEAVES_AFTER_S = 4.0
ZONES = {"midrand-a": 3, "midrand-b": 3, "isando": 2}
SERVERS = 4


def followed_by(host):
    """Returns the name of the host that a host follows, if it does not read the store itself."""
    lines = host.log_lines("event=reading ")
    found = re.search(r'reads_store=false follows="Some\(\\"(.*?)\\"\)"', lines[-1]) if lines else None
    return found and found.group(1)


def main(site):
    followers_of = [zone for zone, hosts in ZONES.items() if hosts > 2]
    servers = [Server(site, "i-%02d" % number, "panel", list(ZONES)[number % 3], work_s=0.03)
               for number in range(SERVERS + len(followers_of))]
    listed, spare = servers[:SERVERS], servers[SERVERS:]
    for server in spare:
        # It joins later.
        server.unlist()
    site.store.put("config", "main", site.configuration(1))
    paths, hosts = {}, []
    for zone, count in ZONES.items():
        for number in range(count):
            name = "front-%s-%d" % (zone, number + 1)
            paths[name] = Proxy(site.next_address(), site.store.address)
            hosts.append(Host(site, name, zone, store=paths[name].address))
    for host in hosts:
        site.wait_until("readiness", host.is_ready)
    time.sleep(6)

    sent, lock, outcomes, broken = {}, threading.Lock(), {}, 0

    def client(host, is_over):
        while not is_over.is_set():
            request_id = site.next_request_id()
            with lock:
                sent[request_id] = time.time()
            answer = site.request(host, "POST", "/status/x", b"order", deadline_ms=2500, request_id=request_id)
            with lock:
                outcomes[answer.status] = outcomes.get(answer.status, 0) + 1
            time.sleep(0.02)

    for zone in followers_of:
        in_zone = [host for host in hosts if host.zone == zone]
        site.wait_until("a host that follows another", lambda: any(map(followed_by, in_zone)), 25)
        follower = next(host for host in in_zone if followed_by(host))
        reader = next(host for host in hosts if host.name == followed_by(follower))
        site.record.write("%s follows %s" % (follower.name, reader.name))
        is_over = threading.Event()
        clients = [threading.Thread(target=client, args=(follower, is_over)) for _ in range(8)]
        for thread in clients:
            thread.start()
        began = time.time()
        if TROUBLE:
            paths[reader.name].cut()
            site.record.write("%s is cut off from the store" % reader.name)
        time.sleep(LEAVES_AFTER_S)
        leaving = listed.pop(0)
        leaving.unlist()
        gone_at = time.time()
        site.record.write("the store has removed the entry of %s" % leaving.name)
        time.sleep(max(0.0, began + CUT_S - time.time()))
        if TROUBLE:
            paths[reader.name].heal()
            site.record.write("%s reaches the store again" % reader.name)
        time.sleep(max(0.0, gone_at + DRAIN_S + LINGER_S - time.time()))
        leaving.kill()
        site.record.write("%s exits" % leaving.name)
        is_over.set()
        for thread in clients:
            thread.join()
        for event in leaving.of("runs"):
            sent_after_s, after_s = sent[event["request"]] - gone_at, event["at"] - gone_at
            if sent_after_s > DRAIN_S:
                broken += 1
                site.record.write("DRAIN BROKEN: %s, sent to %s %.0f ms after the store had removed the entry of %s, "
                                  "reaches it after %.0f ms; allowed: %.0f" % (
                                      event["request"], follower.name, 1000 * sent_after_s, leaving.name,
                                      1000 * after_s, 1000 * DRAIN_S))
        site.record.write("answers so far by status: %s" % outcomes)
        joining = spare.pop(0)
        joining.write_entry()
        site.record.write("%s joins" % joining.name)
        listed.append(joining)
        time.sleep(4)
    site.record.write("answers by status: %s; requests at a server that has left: %d" % (outcomes, broken))
    if not TROUBLE and (broken or set(outcomes) != {200}):
        raise CannotRun("it fails without a disruption")
    return 1 if broken else 0


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), list(ZONES), main)
