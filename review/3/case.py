"""Three proxies that share the replicated store; one, a voter, is cut off from the two others for 6 s. A purge told to one
of the two is acknowledged meanwhile. What the one that is cut off serves is judged from its clients' side."""
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standins import (PEERS, STORE, VOTES, CannotRun, ChangeLog, Client, Link, PopCaches, call, play, tool)  # noqa: E402

CUT_S = 6.0  # "for 6 s a zone is partitioned"
OBEY_S = 0.300 + 0.050  # "300 ms after any of them learned of the purge"; "every time limit is 50 ms longer"
PURGE_AFTER_CUT_S = 0.3
OBJECTS = [f"{number:016x}" for number in range(1, 201)]


def leader(proxy):
    """The leader of the replicated log by what this proxy says."""
    said = call(proxy.host, "GET", "/ops/rollout")[1]
    try:
        return json.loads(said).get("leader", "")
    except ValueError:
        return ""


def start_proxies(bench, caches, cut):
    proxies = [bench.add_proxy() for _ in range(3)]
    for proxy in proxies:
        with open(proxy.path("key"), "w", encoding="utf-8") as out:
            out.write("a key that all members share\n")
    reach = {proxy.index: {} for proxy in proxies}
    for one in proxies:
        for other in proxies:
            if one is other:
                continue
            at = f"{bench.net}.{150 + 10 * one.index + other.index}"

            def is_cut(pair=frozenset((one.index, other.index))):
                return pair in cut
            for port in (PEERS, VOTES):
                Link((at, port), (other.host, port), is_cut, with_datagrams=port == PEERS)
                reach[one.index][f"{other.host}:{port}"] = f"{at}:{port}"
    voters = ", ".join(f'{one.name} = "{one.host}:{VOTES}"' for one in proxies)
    for proxy in proxies:
        log = ChangeLog((f"{bench.net}.{200 + proxy.index}", 4222))
        log.tell({"fleet": {"seq": 1, "whole": True, "hosts": caches.hosts()}})
        known = {"seq": 1, "results": [{"seq": 1, "fleet": {"seq": 1, "whole": True, "hosts": caches.hosts()}}]}
        proxy.write_config(caches, log.at, known, instances=3)
        there = ", ".join(f"{json.dumps(key)} = {json.dumps(value)}" for key, value in reach[proxy.index].items())
        seeds = json.dumps([value for key, value in reach[proxy.index].items() if key.endswith(f":{PEERS}")])
        proxy.write_operator(f"""
[store]
listen = "{proxy.host}:{STORE}"
[peers]
group = "sertao"
listen = "{proxy.host}:{PEERS}"
seeds = {seeds}
reach = {{ {there} }}
key = "{proxy.path('key')}"
folder = "{proxy.path('peers')}"
[agreed]
folder = "{proxy.path('agreed')}"
voters = {{ {voters} }}
""")
        proxy.start()
    for proxy in proxies:
        proxy.ready()
    return proxies


def wait_for_leader(proxies):
    end = time.monotonic() + 15
    while time.monotonic() < end:
        told = {leader(proxy) for proxy in proxies}
        if len(told) == 1 and "" not in told:
            return told.pop()
        time.sleep(0.1)
    raise CannotRun("the replicated log has no leader")


def case(bench):
    caches = PopCaches(bench.net, bench.record)
    cut = set()
    proxies = start_proxies(bench, caches, cut)
    leads = wait_for_leader(proxies)
    lone = next(proxy for proxy in reversed(proxies) if proxy.name != leads)  # a voter that does not lead
    told = next(proxy for proxy in proxies if proxy.name == leads)
    bench.record(f"leader {leads}, to be cut off {lone.name}, purged at {told.name}")
    time.sleep(3)
    # Copies that its clients have asked for lie in the pop caches, all younger than the process.
    client = Client(lone, bench.record, 1)
    for item in OBJECTS:
        if client.ask("video", item)[1] != "served":
            raise CannotRun("a request before the disruption was not served")
    time.sleep(1)
    if bench.trouble:
        cut.update(frozenset((lone.index, other.index)) for other in proxies if other is not lone)
        bench.record(f"cut {lone.name} from the others")
    cut_at = time.time()
    time.sleep(PURGE_AFTER_CUT_S)
    purge_sent = time.time()
    status, said = tool("purge", "group", "17", "--at", f"{told.host}:9001")
    purged_at = time.time()
    bench.record(f"purge group 17 at {told.name}: {status} {said}")
    if status != 0:
        raise CannotRun("the purge was not acknowledged")
    caches.purge_after(set(OBJECTS), purge_sent)
    violations, served, others = [], 0, 0
    reference = Client(told, bench.record, 2)  # for the record: a proxy that was told
    for item in OBJECTS[-5:]:
        reference.ask("video", item)
    begin, end = purged_at + OBEY_S, cut_at + CUT_S - 0.1
    time.sleep(max(0, begin - time.time()))
    for item in OBJECTS[:-5]:
        if time.time() > end:
            break
        sent, outcome, body = client.ask("video", item)
        if outcome != "served":
            others += 1
            continue
        served += 1
        dated = int(body.split()[-1]) / 1000
        if dated < purge_sent:
            violations.append(f"{lone.name} served object {item} from a copy {purge_sent - dated:.2f} s older than the purge, "
                              f"asked {sent - purged_at:.2f} s after {told.name} had acknowledged it")
        time.sleep(0.024)
    cut.clear()
    bench.record("healed")
    print(f"{lone.name}: {served} served, {others} otherwise, {len(violations)} of them purged copies")
    return violations


play(HERE, case)
