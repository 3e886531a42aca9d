#!/usr/bin/env python3
"""A release of real processes under traffic: by plan and installers, against the same done by hand with calls on every
proxy at once (drain, restart). Time, requests without an answer, answers late (over 100 ms), the most out at once.
Prints rows of docs/bench/rollout.md. Usage: release_processes.py SUMACKEEL [MEMBERS]
"""
import os
import sys
import threading
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path.insert(0, os.path.join(ROOT, "tests", "fleet"))
from harness import Fleet, Steps  # noqa: E402
from wire import ops_call  # noqa: E402

LATE_S = 0.1


def play(program, members, by_plan):
    fleet = Fleet(program, {"members": members, "peers": {"version": "1"},
                            "agreed": {"proxies_school_out": max(1, members // 10), "proxies_fleet_out": max(1, members // 10),
                                       "election_ms": 1000}}, 1)
    steps = Steps(fleet)
    try:
        steps.start("all")
        steps.agree(within=120)
        steps.leases("all", [], within=20, leader=True)
        fleet.with_traffic()
        for client in fleet.clients:
            client.keep_times = []
        time.sleep(2)
        began = time.monotonic()
        if by_plan:
            steps.plan(1, waves=[1, "10%", "40%"], soak_s=5, patience_s=300, least_requests=40)
            steps.installers()
            steps.release("all", "done", within=300)
            steps.installing = False
            most = steps.most_out
        else:
            def change(member):
                ops_call(member.ops_port, "POST", "/ops/drain/start?force=1", host=member.host)
                steps.end(member.index)
                steps.start(member.index, version="2")
            threads = [threading.Thread(target=change, args=(one,)) for one in fleet.all]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            most = members
        took = time.monotonic() - began
        time.sleep(2)
        times = sorted(second for client in fleet.clients for second in client.keep_times)
        excused = sum(client.excused for client in fleet.clients)
        fleet.check_traffic()
        late = sum(1 for second in times if second > LATE_S)
        print(f"{members} processes, {'by plan' if by_plan else 'by hand, all at once'}: {took:.0f} s; answered {len(times)}, "
              f"turned back {excused}, late {late}; out at once {most}", flush=True)
    finally:
        fleet.close(keep=False)


def main():
    members = int(sys.argv[2]) if len(sys.argv) > 2 else 10
    for by_plan in (False, True):
        play(sys.argv[1], members, by_plan)


if __name__ == "__main__":
    main()
