#!/usr/bin/env python3
"""What the agreed log costs while it serves: seconds of a client's request, and how long the loop of a voter stands still
at most, as an operator's call each 5 ms sees it: without [agreed], with it idle, and with leaves granted and given back all
the time (each of them on disk). Prints rows of docs/bench/rollout.md. Usage: agreed_cost.py SUMACKEEL [SECONDS]
"""
import os
import sys
import threading
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path.insert(0, os.path.join(ROOT, "tests", "fleet"))
sys.path.insert(0, os.path.join(ROOT, "bench"))
from harness import Fleet, Steps  # noqa: E402
from group_processes import DEFAULTS, shown  # noqa: E402
from wire import ops_call  # noqa: E402

CALL_EVERY_S = 0.005


def play(program, seconds, agreed, busy):
    fleet = Fleet(program, {"members": 5, "peers": DEFAULTS, "pop_caches": ["s-a", "s-b", "s-c"],
                            "agreed": {"election_ms": 1000} if agreed else None}, 1)
    steps = Steps(fleet)
    try:
        steps.start("all")
        steps.agree(within=60)
        if agreed:
            steps.leases("all", [], within=20, leader=True)
        fleet.with_traffic()
        time.sleep(2)
        for client in fleet.clients:
            client.keep_times = []
        looked = fleet.all[0]
        if agreed:
            looked = next(member for member in fleet.all if (steps.rollout(member) or {}).get("leads"))
        going, granted = True, [0]

        def leaves():
            while going:
                if ops_call(fleet.all[4].ops_port, "POST", "/ops/pop-caches/down/s-a", host=fleet.all[4].host) == 200:
                    granted[0] += 1
                ops_call(fleet.all[4].ops_port, "POST", "/ops/pop-caches/up/s-a", host=fleet.all[4].host)
        caller = threading.Thread(target=leaves)
        if busy:
            caller.start()
        calls, end = [], time.monotonic() + seconds
        while time.monotonic() < end:
            began = time.perf_counter()
            ops_call(looked.ops_port, "GET", "/ops/readiness", host=looked.host)
            calls.append((time.perf_counter() - began) * 1000)
            time.sleep(CALL_EVERY_S)
        going = False
        if busy:
            caller.join()
        times = [one * 1e6 for client in fleet.clients for one in client.keep_times]
        print(f"[agreed] {'on' if agreed else 'off'}{f', {granted[0] / seconds:.0f} leaves a second' if busy else ''}: request "
              f"{shown(times, '{:.0f}')} us of {len(times)}, call {shown(calls, '{:.2f}')} ms, longest {max(calls):.1f} ms",
              flush=True)
        fleet.check_traffic()
    finally:
        fleet.close(keep=False)


def main():
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 10
    for agreed, busy in ((False, False), (True, False), (True, True)):
        play(sys.argv[1], seconds, agreed, busy)


if __name__ == "__main__":
    main()
