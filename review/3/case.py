"""A proxy that keeps its list of pop caches on disk is killed and comes back. Its change log numbers its events from 1 at
each start of the proxy, as the protocol page says. Then a pop cache begins to drain; judged is what is sent to it."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standins import CannotRun, ChangeLog, Client, PopCaches, play  # noqa: E402

AWAY_S = 3.0  # "come back after 2.4 to 7.2 s"
GRACE_S = 2.0 + 0.05  # "later than 2 s after the edge proxy was told"; "every time limit is 50 ms longer"
JUDGED_S = 8.0
OBJECTS = [f"{number:016x}" for number in range(1, 41)]


def traffic(client, seconds):
    end, number = time.time() + seconds, 0
    while time.time() < end:
        client.ask("sheet", OBJECTS[number % len(OBJECTS)])
        number += 1
        time.sleep(0.02)


def case(bench):
    caches = PopCaches(bench.net, bench.record)
    log = ChangeLog((f"{bench.net}.200", 4222))
    proxy = bench.add_proxy()
    whole = {"fleet": {"seq": 1, "whole": True, "hosts": caches.hosts()}}

    def begin():
        """What the proxy is told at its start: the list, as event 1."""
        log.tell(whole)
        proxy.write_config(caches, log.at, {"seq": 1, "results": [{"seq": 1, **whole}]})
        proxy.start()
        proxy.ready()
    proxy.write_operator(f'[saved_list]\nfolder = "{proxy.path("list")}"\nsite = "sertao-lessons"\n')
    begin()
    client = Client(proxy, bench.record, 1)
    # The list changes now and then, as on any day: one more number with each purge.
    for number in range(20):
        log.tell({"invalidate": {"object": f"{number + 1000:016x}", "time": int(time.time() * 1000)}})
        traffic(client, 0.1)
    traffic(client, 1.5)
    if bench.trouble:
        proxy.kill()
        log.begin_anew()
        time.sleep(AWAY_S)
        begin()
    traffic(client, 2)
    number = log.tell({"fleet": {"seq": 2, "whole": False, "hosts": caches.hosts({"s-a": "DRAINING"}, ["s-a"])}})
    told = time.time()
    bench.record(f"told: s-a is DRAINING, event {number}")
    traffic(client, JUDGED_S)
    late = [(at, ident) for at, name, ident, fields in caches.requests
            if at > told + GRACE_S and (name == "s-a" or fields.get("parent") == "s-a")]
    to_a = sum(1 for at, name, _, _ in caches.requests if at < told and name == "s-a")
    others = sum(1 for at, name, _, _ in caches.requests if at > told + GRACE_S and name == "s-b")
    if to_a == 0 or others == 0:
        raise CannotRun(f"no traffic to judge: {to_a} to s-a before, {others} to s-b after")
    print(f"asked to continue behind {log.asked}; {len(late)} requests to s-a after its grace, {others} to s-b")
    return [f"request {ident} went to s-a {at - told:.2f} s after the proxy was told that it drains" for at, ident in late]


play(HERE, case)
