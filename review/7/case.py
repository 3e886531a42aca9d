"""A change log that answers each call late: the proxy never hears of a drain, and sends on."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from rig import Case, ChangeLog, Client, Proxy, Site  # noqa: E402

ANSWERS_AFTER_S = 1.5
TOLD_AT_LATEST_S, GRACE_S, SOCKET_SLACK_S = 7.0, 2.0, 0.05
DRAINED = "s-a"


class Traffic(threading.Thread):
    """A client that asks for ever new objects, one at a time."""

    def __init__(self, proxy):
        super().__init__(daemon=True)
        self.proxy, self.going = proxy, True

    def run(self):
        number, client = 1 << 40, Client(self.proxy)
        while self.going:
            number += 1
            client.ask("sheet", f"{number:016x}")
            time.sleep(0.02)


def play(case):
    site = Site(case)
    log = ChangeLog(case, ["n0"], site.hosts())
    if case.trouble:
        log.answers_after_s = ANSWERS_AFTER_S
        case.record(f"change log: answers each call {ANSWERS_AFTER_S} s after it came")
    proxy = Proxy(case, 0, site, log=log).start()
    proxy.wait_ready()
    traffic = Traffic(proxy)
    traffic.start()
    time.sleep(5)
    if not any(one["cache"] == DRAINED for one in site.requests()):
        raise RuntimeError(f"{DRAINED} is not in use")
    told = log.tell({"fleet": {"seq": 2, "whole": False, "hosts": [
        dict(next(host for host in site.hosts() if host["host"] == DRAINED), health="DRAINING")]}}) + TOLD_AT_LATEST_S
    time.sleep(TOLD_AT_LATEST_S + GRACE_S + 5)
    traffic.going = False
    case.record(f"calls to the change log: {len(log.calls)}")
    late = [one for one in site.requests(told + GRACE_S + SOCKET_SLACK_S)
            if DRAINED in (one["cache"], one["fields"].get("parent"))]
    if late:
        return [f"{DRAINED} got {len(late)} requests later than {GRACE_S + SOCKET_SLACK_S} s after the proxy counted as told that "
                f"it drains ({TOLD_AT_LATEST_S} s after the event), the last {late[-1]['at'] - told:.1f} s after that; "
                f"the change log had answered {len(log.calls)} calls of the proxy by then"]
    return []


if __name__ == "__main__":
    case = Case(__file__)
    case.run(play)
