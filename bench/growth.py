#!/usr/bin/env python3
"""What one real process needs as the list of pop caches grows: CPU, peak memory, descriptors and connections made.

Every run sends the same requests at the same rate before the same stand-ins; only the list differs. `--zones` splits the
caches over so many zones of which the process serves the first; `--changes` has the list change so often a second.
Usage: growth.py SUMACKEEL [--caches 12,200,3200] [--zones 1] [--requests 1600] [--rate 200] [--instances 4]
"""
import argparse
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tests", "faults"))
from rig import Boxes, Proxy, SERVED  # noqa: E402
from wire import dispatch, reply  # noqa: E402

STAND_INS, WORKERS = 64, 16


def hosts(boxes, caches, zones):
    one = {"class": "small", "block": 1, "health": "SERVING", "share": 8, "born_ms": 0}
    found = [dict(one, host=f"s-{n:05d}", dial=boxes[n % STAND_INS].at,
                  site="edge-1" if n % zones == 0 else f"edge-{2 + n % zones}") for n in range(caches)]
    found += [dict(one, host=f"s-parent-{n}", dial=boxes[n % STAND_INS].at, site="coast", **{"class": "parent"})
              for n in range(max(2, zones // 4))]
    return found + [dict(one, host="s-origin", dial=boxes[0].at, site="coast", **{"class": "origin"})]


def measure(program, caches, zones, requests, rate, instances):
    boxes = [Boxes() for _ in range(STAND_INS)]

    def change(settings):
        inner = settings["settings"]
        inner["zones"] = ["coast", "edge-1"] + [f"edge-{2 + n}" for n in range(1, zones)]
        inner["instances"] = instances
        inner["family_info"]["count_by_zone"] = [0] + [max(1, instances // zones)] * zones
        inner["family_info"]["zone_hub"] = [0] * (zones + 1)
        inner["my_zone"] = "edge-1"
        settings["known"]["results"][0]["fleet"]["hosts"] = hosts(boxes, caches, zones)
        settings["limits"]["sockets"] = 1024
    proxy = Proxy(program, "", boxes[0].at, change=change)
    proxy.ready()
    counts, lock, numbers = [0, 0], threading.Lock(), iter(range(requests))
    began = time.monotonic()

    def worker():
        conn, sequence = socket.create_connection(("127.0.0.1", proxy.port), timeout=10), 0
        while True:
            with lock:
                number = next(numbers, None)
            if number is None:
                return conn.close()
            time.sleep(max(0.0, began + number / rate - time.monotonic()))
            sequence += 1
            conn.sendall(dispatch(sequence, b"%016x" % (0x6a0000000000 + number), b"%016x" % (number * 7919 % 4001)))
            place = reply(conn)[1]
            with lock:
                counts[0 if place == SERVED else 1] += 1
    workers = [threading.Thread(target=worker) for _ in range(WORKERS)]
    for one in workers:
        one.start()
    for one in workers:
        one.join()
    status = open(f"/proc/{proxy.process.pid}/status", encoding="utf-8").read()
    peak = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
    descriptors = len(os.listdir(f"/proc/{proxy.process.pid}/fd"))
    cpu = proxy.cpu_seconds()
    proxy.end()
    print(f"{caches:6d} caches in {zones:3d} zones, {instances:4d} proxies: {cpu:.2f} s of CPU, {peak / 1024:.1f} MB, "
          f"{descriptors} descriptors, {counts[0] / sum(counts):.3f} served")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--caches", default="12,200,3200")
    parser.add_argument("--zones", type=int, default=1)
    parser.add_argument("--requests", type=int, default=1600)
    parser.add_argument("--rate", type=float, default=200)
    parser.add_argument("--instances", type=int, default=4)
    given = parser.parse_args()
    for caches in given.caches.split(","):
        measure(given.program, int(caches), given.zones, given.requests, given.rate, given.instances)


if __name__ == "__main__":
    main()
