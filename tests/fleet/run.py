#!/usr/bin/env python3
"""Plays one scenario between real processes of the program. Usage: run.py SUMACKEEL SCENARIO.toml [SEED [SECONDS]]

The seed is the scenario's own unless one is given; it is printed, and a failing one is kept in the file.
SECONDS: for how long its steps by chance go on, in place of what it says.
"""
import sys
import time
import tomllib

from harness import Failed, Fleet, Steps, never


def play(program, scenario, seed):
    fleet = Fleet(program, scenario, seed)
    steps, began, failed = Steps(fleet), time.monotonic(), None
    try:
        if scenario.get("started", True):
            steps.start("all")
            if fleet.peers_on:
                steps.agree(within=30)
        if scenario.get("traffic", True):
            fleet.with_traffic()
        for number, step in enumerate(scenario.get("step", []), 1):
            words = dict(step)
            what = words.pop("do")
            print(f"{time.monotonic() - began:6.2f} s  step {number}: {what} {words}", flush=True)
            getattr(steps, what)(**words)
        never(fleet, scenario.get("never", []))
        fleet.check_traffic()
    except Failed as fault:
        failed = str(fault)
    finally:
        fleet.close(keep=failed is not None)
    return failed


def main():
    with open(sys.argv[2], "rb") as file:
        scenario = tomllib.load(file)
    seed = int(sys.argv[3]) if len(sys.argv) > 3 else scenario.get("seed", 20261201)
    for step in scenario.get("step", []) if len(sys.argv) > 4 else []:
        if "seconds" in step:
            step["seconds"] = float(sys.argv[4])
    print(f"{scenario['about']}\nseed {seed}", flush=True)
    failed = play(sys.argv[1], scenario, seed)
    if failed:
        print(f"FAILED: {failed}")
    print("0 passed, 1 failed" if failed else "1 passed, 0 failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
