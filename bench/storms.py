#!/usr/bin/env python3
"""Plays storms between real processes under one seed after another, some beside each other: leaves and releases while
members are stopped, killed, cut off and healed by chance. Judged from outside, as in tests/fleet. A seed that fails is
printed with its log. Usage: storms.py SUMACKEEL SCENARIO.toml FIRST LAST [SIDES [SECONDS]]
"""
import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

RUN = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tests", "fleet", "run.py")


def main():
    program, scenario, first, last = sys.argv[1], sys.argv[2], int(sys.argv[3]), int(sys.argv[4])
    sides = int(sys.argv[5]) if len(sys.argv) > 5 else 1

    seconds = sys.argv[6:7]

    def play(seed):
        done = subprocess.run([sys.executable, RUN, program, scenario, str(seed), *seconds], text=True, capture_output=True, check=False)
        return seed, done.returncode, done.stdout + done.stderr

    failed, ends, most = [], {}, 0
    with ThreadPoolExecutor(sides) as beside:
        for seed, status, said in beside.map(play, range(first, last + 1)):
            for end in re.findall(r"the release is (\w+)|(\d+) leaves granted", said):
                key = end[0] or "granted"
                ends[key] = ends.get(key, 0) + (1 if end[0] else int(end[1]))
            most = max([most] + [int(found) for found in re.findall(r"(\d+) out at most", said)])
            if status != 0:
                failed.append(seed)
                print(f"seed {seed}\n{said}", flush=True)
    print(f"{last - first + 1} seeds, {len(failed)} failed {failed}, {most} out at most, {ends}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
