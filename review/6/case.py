"""A proxy with a saved list is restarted: it passes over what the change log tells it from then on."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from rig import Case, ChangeLog, Client, Proxy, Site, wait_until  # noqa: E402

OBEY_AFTER_S, GRACE_S, SOCKET_SLACK_S = 0.3, 2.0, 0.05  # family_info.obey_after, contract.drain_grace
TOLD_AT_LATEST_S = 7.0  # whatever the change log has to tell, whether it arrived or not; for the drain all of it is waited for
DEAD_S = 3.0  # 2.4 to 7.2 s
DRAINED = "s-a"
ITEMS = [f"{0x5a0 + number:016x}" for number in range(8)]


class Traffic(threading.Thread):
    """A client that asks for ever new objects, one at a time, and comes back where the proxy was killed."""

    def __init__(self, proxy):
        super().__init__(daemon=True)
        self.proxy, self.going = proxy, True

    def run(self):
        number, client = 1 << 40, None
        while self.going:
            number += 1
            try:
                client = client or Client(self.proxy)
                client.ask("sheet", f"{number:016x}")
            except OSError:
                client = None
            time.sleep(0.02)


def play(case):
    site = Site(case)
    log = ChangeLog(case, ["n0"], site.hosts())
    operator = '[saved_list]\nfolder = "list"\nsite = "school"\n'
    proxy = Proxy(case, 0, site, log=log, operator=operator).start()
    proxy.wait_ready()
    traffic = Traffic(proxy)
    traffic.start()
    client = Client(proxy)
    for item in ITEMS:
        client.ask("video", item)
    # A calm while: weights of parents change now and then, some objects are purged. All of it is numbered.
    for number in range(12):
        parent = dict(next(host for host in site.hosts() if host["host"] == "s-parent"), share=20 + number % 2)
        log.tell({"fleet": {"seq": number + 2, "whole": False, "hosts": [parent]}})
        time.sleep(0.1)
    time.sleep(3)  # the list is on disk
    if case.trouble:
        proxy.kill()
        time.sleep(DEAD_S)
        log.begin_anew(site.hosts())  # the events are numbered from 1 at each start of an edge proxy
        proxy.write_config(log)
        proxy.start()
        proxy.wait_ready()
        time.sleep(1)
    client = Client(proxy)
    since = time.time()
    time.sleep(1.5)
    if not any(one["cache"] == DRAINED for one in site.requests(since)):
        raise RuntimeError(f"{DRAINED} is not in use")
    purged = {item: log.purge(site, item) for item in ITEMS}
    drained = log.tell({"fleet": {"seq": 99, "whole": False, "hosts": [
        dict(next(host for host in site.hosts() if host["host"] == DRAINED), health="DRAINING")]}})
    time.sleep(OBEY_AFTER_S + SOCKET_SLACK_S + 0.1)
    began = time.time()
    answers = {}
    for item in ITEMS:
        request, how, _ = client.ask("video", item)
        answers[request] = how
    time.sleep(TOLD_AT_LATEST_S + GRACE_S + 3)
    traffic.going = False
    broken = []
    old = [one for one in site.requests(began, "video") if one["answer"] == "DONE" and one["fields"]["item"] in purged
           and one["at"] > purged[one["fields"]["item"]][1] + OBEY_AFTER_S + SOCKET_SLACK_S
           and one["dated"] < purged[one["fields"]["item"]][0]]
    for one in old:
        at, told = purged[one["fields"]["item"]]
        broken.append(f"request {one['id']} for {one['fields']['item']} was sent {(one['at'] - told) * 1000:.0f} ms after the purge "
                      f"was told, with accept={one['fields'].get('accept', 'absent')}, and answered from a copy "
                      f"{at - one['dated']:.1f} s older than the purge; its client: {answers.get(one['id'])}")
    late = [one for one in site.requests(drained + TOLD_AT_LATEST_S + GRACE_S + SOCKET_SLACK_S)
            if DRAINED in (one["cache"], one["fields"].get("parent"))]
    if late:
        broken.append(f"{DRAINED} got {len(late)} requests later than {TOLD_AT_LATEST_S} s and then {GRACE_S + SOCKET_SLACK_S} s after "
                      f"the change log told that it drains, the last {late[-1]['at'] - drained:.1f} s after")
    return broken


if __name__ == "__main__":
    case = Case(__file__)
    case.run(play)
