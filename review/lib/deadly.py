"""A part of prompts that crashes each server that begins to write an answer on it: fleet, callers and the rule's check.

BUDGET: more than three requests with the part, new ones or repeats, reach servers later than ContactWindowMs after the
fifth crash."""

import os
import random
import sys
import threading
import time

from deployment import CannotRun, Host, Server, Site

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DEADLY = "dead0bad"
SERVERS_OF_A_SERVICE = 9
RESTART_S = 2.5
LAPSE_S = 3.6
CONTACT_WINDOW_S = 3.0
LOAD_S = 24.0


class Fleet:
    """Starts a server in place of each that has crashed, and lets its entry lapse after three heartbeats."""

    def __init__(self, site, services, **settings):
        self.settings = settings
        self.site, self.servers, self.number, self.is_over = site, [], 0, False
        for service in services:
            for zone in (site.zones * SERVERS_OF_A_SERVICE)[:SERVERS_OF_A_SERVICE]:
                self.add(service, zone)
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def add(self, service, zone):
        self.number += 1
        part = DEADLY if TROUBLE else None
        server = Server(self.site, "i-%03d" % self.number, service, zone, streams=True, kind="a100", event_s=0.02,
                        deadly_part=part, **self.settings)
        server.ended_at = None
        self.servers.append(server)

    def watch(self):
        while not self.is_over:
            now = time.time()
            for server in list(self.servers):
                if server.ended_at is None and server.process.poll() is not None:
                    server.ended_at, server.is_replaced = now, False
                if server.ended_at is None:
                    continue
                if not server.is_replaced and now > server.ended_at + RESTART_S:
                    server.is_replaced = True
                    self.add(server.service, server.zone)
                if server.name in self.site.store.names("servers") and now > server.ended_at + LAPSE_S:
                    self.site.store.remove("servers", server.name)
            time.sleep(0.02)

    def events(self, kind):
        found = [event for server in list(self.servers) for event in server.of(kind)]
        return sorted(found, key=lambda event: event["at"])


    def stop(self):
        self.is_over = True
        self.thread.join()


def play(site, services, configuration, prompt, sound_from_s=-4.0, load_s=LOAD_S, **settings):
    """Plays the load. `prompt` returns the headers of a request with the deadly part or of a sound one; sound requests come
    from `sound_from_s` after the first deadly one. `settings` are those of the servers. Returns 1 if the rule was broken."""
    site.store.put("config", "main", configuration)
    hosts = [Host(site, "front-%s-1" % zone, zone) for zone in site.zones]
    fleet = Fleet(site, services, **settings)
    for host in hosts:
        site.wait_until("readiness", host.is_ready)
    site.wait_until("the layers", lambda: all(server.layers for server in fleet.servers))
    time.sleep(4)

    sound, deadly, is_over = [], [], threading.Event()
    began = time.time() + max(0.0, -sound_from_s)

    def client(answers, is_deadly, host, from_time, pause_s):
        time.sleep(max(0.0, from_time - time.time()))
        while not is_over.is_set():
            body = random.randbytes(24).hex().encode()
            answers.append(site.request(host, "POST", "/draft/note", body, headers=prompt(is_deadly)))
            time.sleep(pause_s)

    threads = [threading.Thread(target=client, args=(sound, False, host, began + sound_from_s, 0.3))
               for host in hosts for _ in range(2)]
    threads += [threading.Thread(target=client, args=(deadly, True, host, began, 0.8)) for host in hosts]
    for thread in threads:
        thread.start()
    time.sleep(max(0.0, began + load_s - time.time()))
    is_over.set()
    for thread in threads:
        thread.join(25)
    fleet.stop()

    ids = {answer.request_id for answer in deadly}
    runs = [event for event in fleet.events("runs") if event["request"] in ids]
    crashes = fleet.events("crash")
    site.record.write("sound requests: %d, of them %d begun" % (len(sound), sum(map(is_begun, sound))))
    site.record.write("requests with the part: %d, of them at servers: %d, crashes: %d" % (
        len(deadly), len(runs), len(crashes)))
    if not TROUBLE:
        if any(answer.status != 200 or not answer.is_whole() for answer in sound + deadly):
            raise CannotRun("requests fail without a disruption")
        return 0
    if len(crashes) < 5:
        return 0
    calm = [is_begun(answer) for answer in sound if answer.sent_at < began]
    bound = [is_begun(answer) for answer in sound if answer.sent_at > crashes[4]["at"] + 2 * CONTACT_WINDOW_S]
    site.record.write("sound requests begun at the first attempt: %d of %d before, %d of %d later than %.0f s after the "
                      "fifth crash" % (sum(calm), len(calm), sum(bound), len(bound), 2 * CONTACT_WINDOW_S))
    late = [event for event in runs if event["at"] > crashes[4]["at"] + CONTACT_WINDOW_S]
    for event in late:
        site.record.write("%s reaches %s %.1f s after the fifth crash" % (
            event["request"], event["server"], event["at"] - crashes[4]["at"]))
    site.record.write("fifth crash %.1f s after the first request with the part; requests with it that reach servers later "
                      "than %.0f s after the fifth crash: %d, allowed: 3%s" % (
                          crashes[4]["at"] - began, CONTACT_WINDOW_S, len(late),
                          "  BUDGET BROKEN" if len(late) > 3 else ""))
    return 1 if len(late) > 3 else 0


def is_begun(answer):
    return answer.status == 200


def headers_of(parts):
    """Headers of a request with these shared parts, and a last part of its own."""
    parts = ["%s:40" % part for part in parts] + ["%08x:60" % random.getrandbits(32)]
    return {"Godwitdeal-Model": "daka510000", "Godwitdeal-Token-Counts": "%d,45" % (40 * len(parts) + 20),
            "Godwitdeal-Prompt-Prefix": ",".join(parts)}
