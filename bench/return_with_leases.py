#!/usr/bin/env python3
"""How long after the power real processes with [agreed] and [recovery] are ready again: seconds from a process's own
start, over some losses of power with a lease out. Prints a row of docs/bench/recovery.md.
Usage: return_with_leases.py SUMACKEEL [MEMBERS] [LOSSES]
"""
import os
import re
import statistics
import sys

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path.insert(0, os.path.join(ROOT, "tests", "fleet"))
from harness import Fleet, Steps  # noqa: E402


def phase_times(member):
    """Seconds from the last start to `priming`, by the member's log."""
    started = primed = None
    with open(member.log, encoding="utf-8") as log:
        for line in log:
            if "recovery: started" in line:
                started, primed = float(line.split()[0]), None
            if started and not primed and re.search(r"phase changed from=\w+ to=(priming|serving)", line):
                primed = float(line.split()[0])
    return primed - started


def main():
    program = sys.argv[1]
    members = int(sys.argv[2]) if len(sys.argv) > 2 else 5
    losses = int(sys.argv[3]) if len(sys.argv) > 3 else 10
    fleet = Fleet(program, {"members": members, "agreed": {}, "pop_caches": ["s-a", "s-b", "s-c"],
                            "recovery": {"ask_s": 1, "settle_s": 4, "prime_s": 3, "fills_per_s": 100}}, 1)
    steps, times = Steps(fleet), []
    try:
        steps.start("all")
        steps.agree(within=30)
        fleet.with_traffic()
        steps.stage("all", "serving", within=40)
        steps.call("n1", "/ops/pop-caches/down/s-b", 200, within=15)
        for _ in range(losses):
            steps.power_off()
            steps.power_on("all", over=1)
            steps.stage("all", "serving", within=40)
            times += [phase_times(member) for member in fleet.all]
    finally:
        fleet.close(keep=False)
    times.sort()
    print(f"| {members} | {len(times)} | {statistics.median(times):.2f} | {times[int(len(times) * 0.9)]:.2f} | {times[-1]:.2f} |")


if __name__ == "__main__":
    main()
