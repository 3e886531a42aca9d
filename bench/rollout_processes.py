#!/usr/bin/env python3
"""Leaves agreed on between real processes: how long a grant takes, and how long none is granted after the leader's
kill. Prints rows of docs/bench/rollout.md. Usage: rollout_processes.py SUMACKEEL [GRANTS] [KILLS]
"""
import os
import sys
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path.insert(0, os.path.join(ROOT, "tests", "fleet"))
sys.path.insert(0, os.path.join(ROOT, "bench"))
from harness import Fleet, Steps  # noqa: E402
from group_processes import DEFAULTS, shown  # noqa: E402
from wire import ops_call  # noqa: E402

BOXES = ["s-a", "s-b", "s-c"]


def post(member, path):
    began = time.perf_counter()
    status = ops_call(member.ops_port, "POST", path, host=member.host, bound=3)
    return status, (time.perf_counter() - began) * 1000


def main():
    program = sys.argv[1]
    grants = int(sys.argv[2]) if len(sys.argv) > 2 else 200
    kills = int(sys.argv[3]) if len(sys.argv) > 3 else 20
    for voting, election_ms, loss in ((3, 1000, 0.0), (5, 1000, 0.0), (3, 1000, 0.1)):
        fleet = Fleet(program, {"members": 7, "peers": DEFAULTS, "pop_caches": BOXES,
                                "agreed": {"voting": voting, "election_ms": election_ms}}, 1)
        steps = Steps(fleet)
        try:
            steps.start("all")
            steps.agree(within=60)
            steps.leases("all", [], within=20, leader=True)
            steps.lose(loss)
            took, no = [], 0
            for turn in range(grants):
                status, ms = post(fleet.all[turn % 7], "/ops/pop-caches/down/s-a")
                if status == 200:
                    took.append(ms)
                else:
                    no += 1
                post(fleet.all[(turn + 3) % 7], "/ops/pop-caches/up/s-a")
            print(f"voters {voting}, datagrams lost {loss:.0%}: grant {shown(took)} ms (p50 / p99 of {len(took)}), "
                  f"{no} not granted", flush=True)
            if loss:
                continue
            gaps = []
            for _ in range(kills):
                steps.fault_leader("kill")
                began = time.monotonic()
                asker = next(member for member in reversed(fleet.all) if member.running())
                while post(asker, "/ops/pop-caches/down/s-a")[0] != 200:
                    pass
                gaps.append(time.monotonic() - began)
                while post(asker, "/ops/pop-caches/up/s-a")[0] != 200:
                    pass
                steps.start_led()
                steps.leases("all", [], within=30, leader=True)
            print(f"voters {voting}, leader killed {kills} times: no grant for {shown(gaps, '{:.2f}')} s", flush=True)
        finally:
            fleet.close(keep=False)


if __name__ == "__main__":
    main()
