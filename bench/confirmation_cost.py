#!/usr/bin/env python3
"""What it costs that each member keeps its state of the replicated log confirmed: queries and replies a second, and
processor time of voters and of other members, with nothing to do but that. Prints a row of docs/bench/registry.md.
Usage: confirmation_cost.py SUMACKEEL MEMBERS [SECONDS] [VOTERS]
"""
import os
import shutil
import sys
import tempfile
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path.insert(0, os.path.join(ROOT, "tests", "fleet"))
sys.path.insert(0, os.path.join(ROOT, "bench"))
from group_processes import DEFAULTS, cpu_of  # noqa: E402
from harness.network import PEERS, VOTES, own_network  # noqa: E402
from harness.processes import Member  # noqa: E402
from harness.stub_caches import StubCaches  # noqa: E402

MEMBERS_IN_NETWORK = 200
SETTLED_AFTER_S = 10
AGREED_WITHIN_S = 180


class DirectFleet:
    """Members that reach each other without links that a test steers, so that there may be hundreds."""

    def __init__(self, program, members, voters):
        self.program, self.seed, self.members = program, 1, members
        self.agreed, self.store, self.recovery = {"election_ms": 1000, "voting": voters}, {}, None
        self.pop_caches, self.peers, self.peers_on, self.logs = None, DEFAULTS, True, None
        self.net, self.guard = own_network()
        self.folder = tempfile.mkdtemp(prefix="sumackeel-bench-")
        self.boxes = self.slow_boxes = StubCaches(f"{self.net}.250")
        self.all = []
        base = self.net
        for index in range(members):
            first, second, third = base.split(".")
            self.net = f"{first}.{second}.{(int(third) + index // MEMBERS_IN_NETWORK) % 256}"
            member = Member(self, index)
            member.host = f"{self.net}.{index % MEMBERS_IN_NETWORK + 1}"
            self.all.append(member)
        self.net = base

    def box_at(self, _name):
        return self.boxes.at

    def relayed(self, _a, b, more=0):
        return f"{b.host}:{VOTES if more else PEERS}"

    def pick(self, words):
        return self.all if words == "all" else [self.all[int(word[1:])] for word in words]

    def close(self):
        for member in self.all:
            if member.process and member.process.poll() is None:
                member.process.kill()
                member.process.wait()
        self.boxes.listener.close()
        self.guard.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def queries(member):
    counters = (member.group() or {}).get("counters", {})
    return counters.get("queries_out", 0)


def sure_age(member):
    return (member.told("/ops/rollout") or {}).get("sure_age_s")


def measure(fleet, seconds, voters):
    began = [(cpu_of(member), queries(member)) for member in fleet.all]
    at = time.monotonic()
    ages = []
    while time.monotonic() < at + seconds:
        for member in fleet.all[:: max(1, len(fleet.all) // 20)]:
            ages.append(sure_age(member) or float("inf"))
        time.sleep(0.2)
    took = time.monotonic() - at
    rates = [((cpu_of(member) - cpu) / took * 100, (queries(member) - sent) / took)
             for member, (cpu, sent) in zip(fleet.all, began)]
    ages.sort()

    def row(name, chosen):
        if chosen:
            print(f"{name}: {sum(rate[1] for rate in chosen) / len(chosen):.0f} queries and replies a second sent by each, "
                  f"{sum(rate[0] for rate in chosen) / len(chosen):.2f}% of a core (most {max(rate[0] for rate in chosen):.2f}%)")
    row(f"{len(fleet.all)} members, {voters} voters", rates[:voters])
    row(f"{len(fleet.all)} members, others", rates[voters:])
    print(f"{len(fleet.all)} members: {sum(rate[1] for rate in rates):.0f} messages a second in all; age of the confirmation p50 "
          f"{ages[len(ages) // 2] * 1000:.0f} ms, p99 {ages[int(len(ages) * 0.99)] * 1000:.0f} ms, most {ages[-1] * 1000:.0f} ms "
          f"of {len(ages)} looks", flush=True)


def main():
    program, members = sys.argv[1], int(sys.argv[2])
    seconds = float(sys.argv[3]) if len(sys.argv) > 3 else 10
    voters = int(sys.argv[4]) if len(sys.argv) > 4 else 3
    fleet = DirectFleet(program, members, voters)
    try:
        for member in fleet.all:
            member.start()
        for member in fleet.all:
            member.ready(AGREED_WITHIN_S)
        end = time.monotonic() + AGREED_WITHIN_S
        while any((member.group() or {}).get("size") != members for member in fleet.all[:3] + fleet.all[-1:]):
            if time.monotonic() > end:
                sys.exit("the members do not find each other")
            time.sleep(1)
        time.sleep(SETTLED_AFTER_S)
        measure(fleet, seconds, voters)
    finally:
        fleet.close()


if __name__ == "__main__":
    main()
