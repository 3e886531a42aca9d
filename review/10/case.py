"""One of three proxies with a common store learns of a purge; another serves a copy from before it long after."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from rig import Case, ChangeLog, Client, Fleet, Site, wait_until  # noqa: E402

OBEY_AFTER_S, SOCKET_SLACK_S = 0.3, 0.05
GROUP = 17
ITEMS = [f"{0x7d00 + number:016x}" for number in range(7)]


def play(case):
    site = Site(case, names=("s-a",))
    log = ChangeLog(case, ["n0", "n1", "n2"], site.hosts())
    fleet = Fleet(case, site, store=True, log=log).start()
    clients = [Client(proxy) for proxy in fleet.all]
    for item in ITEMS:
        for client in clients:
            client.ask("video", item, group=GROUP)
    wait_until(lambda: all(log.conns.values()), 5, "all follow the change log")
    time.sleep(1)
    if case.trouble:
        log.silence("n1")
        time.sleep(0.2)
    purged_at = time.time()
    site.purges.append((purged_at, None))
    log.tell({"invalidate": {"bucket": GROUP, "time": int(purged_at * 1000)}})
    # That n0 has learned of it shows in what it asks for: no copy from before the purge.
    clients[0].ask("video", ITEMS[0], group=GROUP)
    learned = next((one["at"] for one in site.requests(purged_at) if "accept" in one["fields"]), None)
    if learned is None:
        raise RuntimeError("n0 has not learned of the purge")
    case.record(f"n0 learned of the purge at most {learned - purged_at:.3f} s after it")
    asked = {}
    for item in ITEMS[1:]:
        time.sleep(max(0.0, learned + OBEY_AFTER_S + SOCKET_SLACK_S + 0.1 - time.time()))
        for index in (1, 2):
            request, how, _ = clients[index].ask("video", item, group=GROUP)
            asked[request] = (index, how)
        time.sleep(0.25)
    broken = []
    for one in site.requests(learned + OBEY_AFTER_S + SOCKET_SLACK_S, "video"):
        if one["answer"] == "DONE" and one["dated"] < purged_at:
            index, how = asked.get(one["id"], ("?", "?"))
            broken.append(f"n{index} sent request {one['id']} for {one['fields']['item']} {(one['at'] - learned) * 1000:.0f} ms "
                          f"after n0 had learned of the purge, with accept={one['fields'].get('accept', 'absent')}; it was "
                          f"answered from a copy {(purged_at - one['dated']) * 1000:.0f} ms older than the purge; its "
                          f"client: {how}")
    return broken


if __name__ == "__main__":
    case = Case(__file__)
    case.run(play)
