"""A call that puts a pop cache back is answered with a no, and takes effect seconds later, after it was taken out again."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from rig import Case, ChangeLog, Client, Fleet, Site, wait_until  # noqa: E402

HELD_S = 2.0  # split+mass: 6 s
GRACE_S, SOCKET_SLACK_S, CALL_S = 2.0, 0.05, 1.0  # contract.drain_grace; the ban holds at the latest 1 s after the call
WATCHED_S = 6.0
BANNED = "s-a"


class Traffic(threading.Thread):
    """A client of one proxy that asks for ever new objects, one at a time."""

    def __init__(self, proxy):
        super().__init__(daemon=True)
        self.proxy, self.going = proxy, True

    def run(self):
        number = self.proxy.index << 32
        client = Client(self.proxy)
        while self.going:
            number += 1
            client.ask("sheet", f"{number:016x}")
            time.sleep(0.03)
        client.close()


def play(case):
    site = Site(case)
    log = ChangeLog(case, ["n0", "n1", "n2"], site.hosts())
    fleet = Fleet(case, site, store=False, log=log).start()
    leader = fleet.leader()
    caller = next(proxy for proxy in fleet.all if proxy is not leader)
    traffic = [Traffic(proxy) for proxy in fleet.all]
    for one in traffic:
        one.start()
    wait_until(lambda: any(one["cache"] == BANNED for one in site.requests()), 10, f"{BANNED} is in use")
    if leader.ops("POST", f"/ops/pop-caches/down/{BANNED}", record=True)[0] != 200:
        raise RuntimeError("the pop cache could not be taken out")
    time.sleep(GRACE_S + CALL_S + 0.5)
    before = time.time()
    time.sleep(1)
    if any(one["cache"] == BANNED for one in site.requests(before)):
        raise RuntimeError("the pop cache is in use though it was taken out without any disruption")
    broken = []
    link = fleet.links[caller.index, leader.index]
    case.record(f"leader {leader.name}, the call to put back goes to {caller.name}")
    if case.trouble:
        def cut(data):
            if BANNED.encode() in data and not link.hold_sent and not link.held:
                link.hold_sent = True
                link.held.append(len(data))
                case.record(f"link {link.name}: cut, with a question of {len(data)} bytes on its way")

        link.seen_sent = cut
        began = time.time()
        status, _ = caller.ops("POST", f"/ops/pop-caches/up/{BANNED}", record=True)
        if 200 <= status < 300:
            raise RuntimeError("the call was answered with a yes over a link that passes nothing")
        if not link.held:
            raise RuntimeError("the link was not cut under the call")
    # The operator was told no. The pop cache stays out; the call that takes it out is repeated.
    called = time.time()
    status, _ = leader.ops("POST", f"/ops/pop-caches/down/{BANNED}", record=True)
    if status != 200:
        raise RuntimeError("the repeated call to take it out was answered with a no")
    if case.trouble:
        time.sleep(max(0.0, HELD_S - (time.time() - began)))
        link.hold_sent = False
        case.record(f"link {link.name}: passes everything again, {time.time() - began:.2f} s after the call")
    time.sleep(WATCHED_S)
    since = called + CALL_S + GRACE_S + SOCKET_SLACK_S
    late = [one for one in site.requests(since)
            if BANNED in (one["cache"], one["fields"].get("parent"))]
    for one in traffic:
        one.going = False
    for one in traffic:
        one.join(10)
    if len(site.requests(since)) < 50:
        raise RuntimeError("there was too little traffic to tell")
    if late:
        broken.append(f"{BANNED} got {len(late)} requests of {len(site.requests(since))} later than "
                      f"{GRACE_S + SOCKET_SLACK_S} s after the last call for it was the one that took it out, answered yes; "
                      f"the first came {late[0]['at'] - called:.2f} s after that call")
    return broken


if __name__ == "__main__":
    case = Case(__file__)
    case.run(play)
