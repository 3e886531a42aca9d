#!/usr/bin/env python3
"""A loss of power to real processes under load, with [recovery] and without it (the version before): seconds from the
power to the first answer and to 50, 90 and 99% of the answers before; the most fills in a second at the hub and the
origin; requests of `enrol` run twice; one proxy's restart in a living fleet. Prints rows of docs/bench/recovery.md.
Usage: recovery_processes.py SUMACKEEL [MEMBERS] [BUDGET] [HUB_BUDGET]
"""
import os
import sys
import threading
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path.insert(0, os.path.join(ROOT, "tests", "fleet"))
from harness import Fleet, Steps  # noqa: E402

LOOK_S = 0.25


def answered(fleet):
    return sum(client.answered for client in fleet.clients)


def play(program, members, budget, hubs, on):
    fleet = Fleet(program, {"members": members, "recovery": {"ask_s": 3, "settle_s": 6, "prime_s": 40,
                                                             "fills_per_s": budget, "hub_fills_per_s": hubs}}, 1)
    if not on:
        fleet.recovery = None  # the boxes and change logs stay
    steps = Steps(fleet)
    try:
        steps.start("all")
        steps.agree(within=90)
        fleet.with_traffic()
        end = time.monotonic() + 60
        while on and time.monotonic() < end:  # the first start is one too
            if all((steps.recovery(one) or {}).get("stage") == "serving" for one in fleet.all):
                break
            time.sleep(LOOK_S)
        time.sleep(3)
        first = answered(fleet)
        time.sleep(5)
        before = (answered(fleet) - first) / 5
        steps.power_off()
        time.sleep(1)
        began, base = time.monotonic(), answered(fleet)
        threading.Thread(target=steps.power_on, kwargs={"over": 3}, daemon=True).start()
        reached, last, at = {}, base, began
        first_answer = None
        while time.monotonic() - began < 60 and 0.99 not in reached:
            time.sleep(LOOK_S)
            now, have = time.monotonic(), answered(fleet)
            if first_answer is None and have > base:
                first_answer = now - began
            rate = (have - last) / (now - at)
            last, at = have, now
            for share in (0.5, 0.9, 0.99):
                if rate >= share * before:
                    reached.setdefault(share, now - began)
        time.sleep(3)
        fills = sum(1 for at, box in fleet.copies.asked if box in ("s-parent", "s-origin") and at > steps.on_at)
        said = (steps.recovery(fleet.all[0]) or {}).get("counters", {})
        most = {box: fleet.copies.most_in_a_second(box, steps.on_at) for box in ("s-parent", "s-origin")}
        one = fleet.all[-1]
        steps.kill(one.index)
        began = time.monotonic()
        one.start()
        one.ready()
        restart = time.monotonic() - began
        refused = sum(client.other for client in fleet.clients)
        fleet.check_traffic()
        print(f"{members} processes, {'with' if on else 'without'}: before {before:.0f} answers/s; first {first_answer:.1f} s, "
              f"50/90/99% {' / '.join(f'{reached[share]:.1f}' if share in reached else '-' for share in (0.5, 0.9, 0.99))} s; "
              f"most fills in a second: hub {most['s-parent']}, origin {most['s-origin']}; refused {refused}; "
              f"one restarted is ready in {restart:.2f} s; asked of hub and origin in all {fills}; kept {said.get('written', 0)} times, "
              f"longest write {said.get('longest_write_us', 0)} us", flush=True)
    finally:
        fleet.close(keep=False)


def main():
    members = int(sys.argv[2]) if len(sys.argv) > 2 else 5
    budget = float(sys.argv[3]) if len(sys.argv) > 3 else 100
    hubs = float(sys.argv[4]) if len(sys.argv) > 4 else 4 * budget
    for on in (False, True):
        play(sys.argv[1], members, budget, hubs, on)


if __name__ == "__main__":
    main()
