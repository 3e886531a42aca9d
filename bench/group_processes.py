#!/usr/bin/env python3
"""Membership between real processes, at the default period: cost, time to a death, time to merge, and what a
request takes with the group on and off. Prints rows of docs/bench/group.md.
Usage: group_processes.py SUMACKEEL MEMBERS [KILLS]
"""
import os
import re
import statistics
import sys
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path.insert(0, os.path.join(ROOT, "tests", "fleet"))
from harness import Client, Fleet, Steps  # noqa: E402

CALM_S = 30
SPLIT_S = 30
DEFAULTS = {"period_ms": 1000, "probe_timeout_ms": 400, "exchange_s": 30}


def cpu_of(member):
    with open(f"/proc/{member.process.pid}/stat", encoding="utf-8") as file:
        words = file.read().rsplit(")", 1)[1].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


def shown(values, form="{:.1f}"):
    values = sorted(values)
    return " / ".join(form.format(values[min(len(values) - 1, int(len(values) * share))]) for share in (0.5, 0.99))


def dead_at(member, name, since):
    """When this member's log called `name` dead, after `since` (Unix seconds)."""
    with open(member.log, encoding="utf-8", errors="replace") as log:
        times = [float(found.group(1)) for found in re.finditer(
            rf"^(\d+\.\d+) info cluster: state_changed member={name} state=dead ", log.read(), re.M)]
    return min((at for at in times if at >= since), default=None)


def kills(fleet, steps, count):
    first, last = [], []
    for turn in range(count):
        victim = fleet.all[1 + turn % (fleet.members - 1)]
        others = [member for member in fleet.all if member is not victim]
        since = time.time()
        steps.kill([victim.index])
        steps.sees([member.index for member in others], victim.name, "dead", within=120)
        times = [dead_at(member, victim.name, since) - since for member in others]
        first.append(min(times))
        last.append(max(times))
        steps.start([victim.index])
        steps.agree(within=120)
    return first, last


def took(program, members, on):
    """Microseconds of requests one after another through one proxy of a group, or of a proxy alone."""
    fleet = Fleet(program, {"members": members, "peers": DEFAULTS, "peers_on": on}, 1)
    steps = Steps(fleet)
    try:
        steps.start("all")
        if on:
            steps.agree(within=120)
        client = Client(fleet.all[0], pause=0)
        client.keep_times = []
        client.start()
        time.sleep(8)
        client.going = False
        client.join()
        return [one * 1e6 for one in client.keep_times[200:]]
    finally:
        fleet.close(keep=False)


def main():
    program, members = sys.argv[1], int(sys.argv[2])
    count = int(sys.argv[3]) if len(sys.argv) > 3 else 10
    fleet = Fleet(program, {"members": members, "peers": DEFAULTS}, 1)
    steps = Steps(fleet)
    try:
        began = time.monotonic()
        steps.start("all")
        steps.agree(within=120)
        print(f"members {members}: all agree {time.monotonic() - began:.1f} s after the first start", flush=True)
        before = [(cpu_of(member), member.group()["counters"]["bytes_out"]) for member in fleet.all]
        time.sleep(CALM_S)
        after = [(cpu_of(member), member.group()["counters"]["bytes_out"]) for member in fleet.all]
        cpu = [(b[0] - a[0]) / CALM_S * 1000 for a, b in zip(before, after)]
        sent = [(b[1] - a[1]) / CALM_S for a, b in zip(before, after)]
        print(f"calm: {statistics.mean(sent):.0f} B/s out a member (most {max(sent):.0f}), "
              f"{statistics.mean(cpu):.2f} ms of processor a second (the whole process)", flush=True)
        first, last = kills(fleet, steps, count)
        print(f"kill, {count} times: first knows {shown(first)} s, last knows {shown(last)} s", flush=True)
        half = members // 2
        steps.cut(list(range(half)), list(range(half, members)), both=True)
        time.sleep(SPLIT_S)
        steps.heal()
        began = time.monotonic()
        steps.agree(within=300)
        print(f"halves for {SPLIT_S} s: all alive again {time.monotonic() - began:.1f} s after", flush=True)
    finally:
        fleet.close(keep=False)
    if members <= 8:
        for on in (False, True, False, True):
            times = took(program, members, on)
            print(f"request, group {'on' if on else 'off'}: {shown(times, '{:.0f}')} us of {len(times)}", flush=True)


if __name__ == "__main__":
    main()
