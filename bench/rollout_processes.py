#!/usr/bin/env python3
"""Leaves agreed on between real processes: how long a grant takes, and how long none is granted after the leader's
kill. Prints rows of docs/bench/rollout.md. Usage: rollout_processes.py SUMACKEEL [GRANTS] [KILLS [SIDES]]
The kills are shared by SIDES fleets beside each other.
"""
import os
import sys
import time
from concurrent.futures import ThreadPoolExecutor

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


def fleet_of(program, voting, seed):
    return Fleet(program, {"members": 7, "peers": DEFAULTS, "pop_caches": BOXES,
                           "agreed": {"voting": voting, "election_ms": 1000}}, seed)


def started(fleet):
    steps = Steps(fleet)
    steps.start("all")
    steps.agree(within=60)
    steps.leases("all", [], within=20, leader=True)
    return steps


def grant_times(program, voting, loss, grants):
    fleet = fleet_of(program, voting, 1)
    try:
        started(fleet).lose(loss)
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
    finally:
        fleet.close(keep=False)


def gaps_after_kills(program, voting, kills, seed):
    """Seconds from each kill of the leader to the next grant."""
    fleet, gaps = fleet_of(program, voting, seed), []
    try:
        steps = started(fleet)
        for _ in range(kills):
            steps.fault_leader("kill")
            began = time.monotonic()
            asker = next(member for member in reversed(fleet.all) if member.running())
            while post(asker, "/ops/pop-caches/down/s-a")[0] != 200:
                pass
            gaps.append(time.monotonic() - began)
            while post(asker, "/ops/pop-caches/up/s-a")[0] != 200:
                pass
            steps.start("led")
            steps.leases("all", [], within=30, leader=True)
    finally:
        fleet.close(keep=False)
    return gaps


def main():
    program = sys.argv[1]
    grants = int(sys.argv[2]) if len(sys.argv) > 2 else 200
    kills = int(sys.argv[3]) if len(sys.argv) > 3 else 20
    sides = int(sys.argv[4]) if len(sys.argv) > 4 else 1
    for voting, loss in ((3, 0.0), (5, 0.0), (3, 0.1)):
        grant_times(program, voting, loss, grants)
    for voting in (3, 5):
        with ThreadPoolExecutor(sides) as beside:
            shares = list(beside.map(lambda side: gaps_after_kills(program, voting, kills // sides, side + 1), range(sides)))
        gaps = [gap for share in shares for gap in share]
        print(f"voters {voting}, leader killed {len(gaps)} times: no grant for {shown(gaps, '{:.2f}')} s (p50 / p99), "
              f"longest {max(gaps):.2f} s", flush=True)


if __name__ == "__main__":
    main()
