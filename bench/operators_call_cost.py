#!/usr/bin/env python3
"""How long an operators' call through the replicated log takes at rest, by where it is made, and what three idle members
cost: processor time, and bytes between them. Prints rows of docs/bench/rollout.md.
Usage: operators_call_cost.py SUMACKEEL [CALLS [IDLE_SECONDS]]
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

TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")


def processor_seconds(member):
    with open(f"/proc/{member.process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_A_SECOND


def bytes_sent(member):
    return member.group()["counters"]["bytes_out"]


def timed_calls(member, count):
    """Milliseconds of each call that takes a pop cache out or puts it back."""
    times = []
    for number in range(count):
        way = "up" if number % 2 else "down"
        began = time.perf_counter()
        if ops_call(member.ops_port, "POST", f"/ops/pop-caches/{way}/s-a", host=member.host) != 200:
            raise SystemExit(f"{way} at {member.name} was not answered yes")
        times.append((time.perf_counter() - began) * 1000)
    return times


def main():
    calls = int(sys.argv[2]) if len(sys.argv) > 2 else 400
    seconds = float(sys.argv[3]) if len(sys.argv) > 3 else 20
    fleet = Fleet(sys.argv[1], {"members": 4, "peers": DEFAULTS, "pop_caches": ["s-a", "s-b", "s-c"],
                                "agreed": {"election_ms": 1000}}, 1)
    steps = Steps(fleet)
    try:
        steps.start("all")
        steps.agree(within=60)
        steps.leases("all", [], within=20, leader=True)
        leader = next(member for member in fleet.all if steps.rollout(member)["leads"])
        voter = next(member for member in fleet.all[:3] if member is not leader)
        for place, member in (("the leader", leader), ("another voter", voter), ("no voter", fleet.all[3])):
            times = timed_calls(member, calls)
            print(f"call at {place}: {shown(times, '{:.2f}')} ms of {len(times)}, longest {max(times):.1f} ms", flush=True)
        time.sleep(2)
        before = [(processor_seconds(member), bytes_sent(member)) for member in fleet.all[:3]]
        time.sleep(seconds)
        after = [(processor_seconds(member), bytes_sent(member)) for member in fleet.all[:3]]
        cpu = [100 * (now[0] - then[0]) / seconds for then, now in zip(before, after)]
        sent = [(now[1] - then[1]) / seconds for then, now in zip(before, after)]
        print(f"idle voters: {', '.join(f'{one:.2f}' for one in cpu)} % of a core; "
              f"{', '.join(f'{one:.0f}' for one in sent)} bytes a second sent to members")
    finally:
        fleet.close(keep=False)


if __name__ == "__main__":
    main()
