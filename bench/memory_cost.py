#!/usr/bin/env python3
"""CPU a request of release builds, without any shortage: small reads, reads of 240 KB and writes of 48 KB.

    bench/memory_cost.py LIBRARY PROGRAM... > table.md

LIBRARY is the test build's libfault_calls.so. The programs take turns, ROUNDS times; each round is a line. All on loopback.
"""
import os
import re
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tests", "faults"))
from memory_test import Caches, crowd  # noqa: E402
from rig import Crowd, Proxy  # noqa: E402

ROUNDS, SECONDS, CLIENTS = 3, 4.0, 8


def served(proxy):
    return int(re.search(r"gw_answers_served (\d+)", proxy.call("/ops/stats", "GET")[1])[1])


def small(proxy):
    clients = Crowd(proxy.port, CLIENTS)
    for client in clients.all:
        client.join(SECONDS / CLIENTS)
    clients.stop()


def habit(name):
    return lambda proxy: crowd(proxy.port, name, CLIENTS, SECONDS).communicate()


KINDS = {"small reads": small, "reads of 240 KB": habit("reads"), "writes of 48 KB": habit("some_writes")}


def cost(program, library, load):
    """Microseconds of CPU a served request, and how many were served."""
    caches = Caches("answer")
    proxy = Proxy(program, library, caches.at)
    try:
        proxy.ready()
        before = proxy.cpu_seconds(), served(proxy)
        load(proxy)
        count = served(proxy) - before[1]
        return 1e6 * (proxy.cpu_seconds() - before[0]) / max(1, count), count
    finally:
        caches.end()
        proxy.end()


def main():
    library, programs = sys.argv[1], sys.argv[2:]
    print("| kind | round | program | CPU a request, us | served |\n| --- | --- | --- | --- | --- |")
    for kind, load in KINDS.items():
        for number in range(ROUNDS):
            for place, program in enumerate(programs):
                print(f"| {kind} | {number} | {place} | %.0f | %d |" % cost(program, library, load), flush=True)


main()
