"""A new configuration moves discovery while expectations are set: the proxy stays with the old change log for the whole check."""
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from rig import Case, ChangeLog, Client, Proxy, Site, wait_until  # noqa: E402

TOLD_AFTER_SIGHUP_S, GRACE_S, SOCKET_SLACK_S = 4.0, 2.0, 0.05
DRAINED = "s-a"
EXPECTATIONS = """[traffic]
per_s = 180
seconds = 600
mix = { video = 53, sheet = 44, enrol = 3 }

[worlds]
most_pairs = 2000

[[expect]]
name = "drains are kept"
reason = "a box that was told to drain is about to be switched off"
no_new_work_after = 2
"""


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
    proxy = Proxy(case, 0, site, log=log, operator='[expectations]\nfile = "expectations.toml"\n')
    with open(os.path.join(proxy.folder, "expectations.toml"), "w", encoding="utf-8") as out:
        out.write(EXPECTATIONS)
    proxy.start()
    proxy.wait_ready(60)
    traffic = Traffic(proxy)
    traffic.start()
    wait_until(lambda: log.conns["n0"], 10, "the proxy follows the change log")
    time.sleep(2)
    if not any(one["cache"] == DRAINED for one in site.requests()):
        raise RuntimeError(f"{DRAINED} is not in use")
    told = 0.0
    if case.trouble:
        log.move("n0")
        proxy.write_config(log)
        proxy.process.send_signal(signal.SIGHUP)
        told = time.time() + TOLD_AFTER_SIGHUP_S
        case.record("n0: SIGHUP")
    time.sleep(1)
    told = max(told, log.tell({"fleet": {"seq": 2, "whole": False, "hosts": [
        dict(next(host for host in site.hosts() if host["host"] == DRAINED), health="DRAINING")]}}))
    time.sleep(14)
    traffic.going = False
    late = [one for one in site.requests(told + GRACE_S + SOCKET_SLACK_S)
            if DRAINED in (one["cache"], one["fields"].get("parent"))]
    case.record(f"what the proxy said: {proxy.said()[-400:]!r}")
    if late:
        return [f"{DRAINED} got {len(late)} requests later than {GRACE_S + SOCKET_SLACK_S} s after the proxy counted as told that "
                f"it drains, the last {late[-1]['at'] - told:.1f} s after that"]
    return []


if __name__ == "__main__":
    case = Case(__file__)
    case.run(play)
