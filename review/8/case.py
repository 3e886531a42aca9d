"""A purge while connections to a pop cache come up late: what waits for them is sent as if there had been no purge."""
import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from rig import Case, ChangeLog, Client, Proxy, Site, base_settings, wait_until  # noqa: E402

OBEY_AFTER_S, SOCKET_SLACK_S = 0.3, 0.05  # family_info.obey_after; every limit on sockets is 50 ms longer
KEEPALIVE_S = 3
LATE_CONNECTIONS = 3
NEED_KB = 4000  # 440 ms at the pace of the settings


def settings():
    mine = base_settings()
    mine["limits"]["connect_timeout"] = 1_500_000  # as long as the pages say that a connection may take to come up
    mine["limits"]["keepalive"] = KEEPALIVE_S * 1_000_000
    mine["contract"]["drain_grace"] = 3_000_000
    return mine


def homes(site, client):
    """Asks for objects until one cache is home of LATE_CONNECTIONS of them and the others of twice as many."""
    of = {name: [] for name in site.kinds}
    for number in range(60):
        item = f"{0x7e0 + number:016x}"
        client.ask("video", item, need=NEED_KB, timeout_ms=6000)
        served = [one for one in site.requests(cls="video") if one["fields"]["item"] == item and one["answer"] == "DONE"]
        if served:
            of[served[-1]["cache"]].append(item)
        caches = [name for name, kind in site.kinds.items() if kind == "small"]
        full = [name for name in caches if len(of[name]) >= LATE_CONNECTIONS]
        if full:
            late = full[0]
            others = [one for name in caches if name != late for one in of[name]]
            if len(others) >= 2 * LATE_CONNECTIONS:
                return late, of[late][:LATE_CONNECTIONS], others[:2 * LATE_CONNECTIONS]
    raise RuntimeError("no cache is home of enough objects")


def play(case):
    site = Site(case)
    log = ChangeLog(case, ["n0"], site.hosts())
    proxy = Proxy(case, 0, site, log=log, settings=settings()).start()
    proxy.wait_ready()
    wait_until(lambda: log.conns["n0"], 5, "the proxy follows the change log")
    client = Client(proxy)
    late, items, others = homes(site, client)
    case.record(f"objects of {late}: {items}; of the others: {others}")
    client.close()
    time.sleep(KEEPALIVE_S + 0.5)  # idle connections are closed after the time of the settings
    fillers = []
    if case.trouble:
        # The cache takes no connection for a moment: its queue is full, and the system drops what else comes.
        site.paused.add(late)
        time.sleep(0.05)
        listener = site.listeners[late]
        listener.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
            fillers.append(filler)
        time.sleep(0.05)
        case.record(f"{late}: takes no new connection")
    client = Client(proxy)
    began = time.time()
    for item in items + others:
        client.send("video", item, need=NEED_KB, timeout_ms=6000)
    time.sleep(0.15)
    purged = {item: log.purge(site, item) for item in items}
    if case.trouble:
        time.sleep(0.5)
        listener.listen(256)
        for filler in fillers:
            filler.close()
        site.paused.discard(late)
        case.record(f"{late}: takes connections again")
    answers = [client.receive() for _ in items + others]
    came_up = max((one["at"] for one in site.requests(began) if one["fields"]["item"] in items), default=0) - began
    case.record(f"the last of the waiting requests came {came_up:.3f} s after it was asked")
    if case.trouble and came_up < OBEY_AFTER_S + 0.2:
        raise RuntimeError("no connection came up late")
    time.sleep(1)
    second = Client(proxy)
    for item in items:  # what is asked after the purge
        answers.append(second.ask("video", item, need=NEED_KB, timeout_ms=6000))
    broken = []
    for one in site.requests(began, "video"):
        item = one["fields"]["item"]
        if item not in purged or one["answer"] != "DONE":
            continue
        at, told = purged[item]
        after = one["at"] - told
        if after > OBEY_AFTER_S + SOCKET_SLACK_S and one["dated"] < at:
            how = next((how for request, how, _ in answers if request == one["id"]), "not answered")
            broken.append(f"request {one['id']} reached {one['cache']} {after * 1000:.0f} ms after the proxy was told of the "
                          f"purge of {item}, with accept={one['fields'].get('accept', 'absent')}, and was answered from a "
                          f"copy {(at - one['dated']) * 1000:.0f} ms older than the purge; its client: {how}")
    return broken


if __name__ == "__main__":
    case = Case(__file__)
    case.run(play)
