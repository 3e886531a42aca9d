#!/usr/bin/env python3
"""Keys and purges between real processes: sets a second by several callers beside each other and how long each takes, sure
reads, and the time from a purge's yes until the last member has it, calm and with a member stopped. Prints rows of
docs/bench/registry.md. Usage: registry_processes.py SUMACKEEL [SECONDS] [PURGES]
"""
import json
import os
import socket
import sys
import time
from concurrent.futures import ThreadPoolExecutor

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path.insert(0, os.path.join(ROOT, "tests", "fleet"))
sys.path.insert(0, os.path.join(ROOT, "bench"))
from harness import STORE, Fleet, Steps  # noqa: E402
from group_processes import DEFAULTS, shown  # noqa: E402
from wire import ops_call  # noqa: E402

CALLERS = 8


def asked(member, seconds, question):
    """How long each took, one after another on one connection."""
    took, end, turn = [], time.monotonic() + seconds, 0
    with socket.create_connection((member.host, STORE)) as conn:
        lines = conn.makefile()
        while time.monotonic() < end:
            turn += 1
            began = time.perf_counter()
            conn.sendall((json.dumps(question(turn)) + "\n").encode())
            said = json.loads(lines.readline())
            if said.get("outcome", "done") == "done" and "refused" not in said:
                took.append((time.perf_counter() - began) * 1000)
    return took


def told_after(fleet, number, but=()):
    """Seconds until all members say that they have that purge."""
    began, left = time.monotonic(), [member for member in fleet.all if member not in but]
    while left:
        left = [member for member in left
                if ((member.told("/ops/rollout") or {}).get("registry") or {}).get("last_purge", 0) < number]
    return time.monotonic() - began


def purges(fleet, count, but=()):
    times = []
    for turn in range(count):
        body, member = [], fleet.all[turn % 3 + 2]
        assert ops_call(member.ops_port, "POST", f"/ops/purge/group/{turn}", body, host=member.host) == 200
        times.append(told_after(fleet, int(body[0].split()[1]), but))
    return times


def main():
    program = sys.argv[1]
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 5
    count = int(sys.argv[3]) if len(sys.argv) > 3 else 50
    for voting in (3, 5):
        fleet = Fleet(program, {"members": 7, "peers": DEFAULTS, "agreed": {"voting": voting, "election_ms": 1000},
                                "store": {}}, 1)
        steps = Steps(fleet)
        try:
            steps.start("all")
            steps.agree(within=60)
            steps.put("n6", "fleet/x", "first", within=20)
            with ThreadPoolExecutor(CALLERS) as beside:
                all_took = [one for took in beside.map(
                    lambda n: asked(fleet.all[n % 7], seconds, lambda turn: {"set": f"fleet/{n}", "value": str(turn)}),
                    range(CALLERS)) for one in took]
            reads = asked(fleet.all[6], seconds, lambda turn: {"get": "fleet/x", "sure": True})
            print(f"voters {voting}: {len(all_took) / seconds:.0f} sets a second by {CALLERS} callers, each {shown(all_took)} ms; "
                  f"sure reads {shown(reads)} ms (p50 / p99)", flush=True)
            calm = purges(fleet, count)
            steps.stop("n6")
            down = purges(fleet, count, but=(fleet.all[6],))
            steps.cont("n6")
            print(f"voters {voting}: purge to the last member told {shown(calm, '{:.3f}')} s, with one member stopped "
                  f"{shown(down, '{:.3f}')} s (p50 / p99 of {count})", flush=True)
        finally:
            fleet.close(keep=False)


if __name__ == "__main__":
    main()
