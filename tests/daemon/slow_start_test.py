#!/usr/bin/env python3
"""Thirty real processes before two pop caches that have just started cold, under a burst.

What all processes together send a cold pop cache in the settings' time may be N calls of mean work, N being what the
settings allow it then, and 2 x root of N + 2 by chance. Each process knows of the others by the settings' number alone.
With a number of 1 in its place the same burst has to go over that bound: else the test could not fail.
Usage: slow_start_test.py SUMACKEEL
"""
import json
import math
import os
import random
import socket
import subprocess
import sys
import tempfile
import threading
import time

from wire import BOUND_S, alive_good, cache_box, dispatch, listening, reply, reserved_port, settings_for


PROCESSES, EVERY_S, LASTS_S, NEED_KB = 30, 0.1, 4.0, 2000
SEED = 20261202


def most_in_a_window(asked, settings, started):
    """The window that comes nearest to its bound: calls in it, its bound."""
    contract, family = settings["settings"]["contract"], settings["settings"]["family_info"]
    window, share = contract["overload_for"] / 1e6, settings["known"]["results"][0]["fleet"]["hosts"][0]["share"]
    work = NEED_KB / family["pace_kb_per_s"]
    worst = (0, 1.0)
    times = sorted(asked)
    for i, first in enumerate(times):
        calls = sum(1 for when in times[i:] if when < first + window)
        warm = min(1.0, contract["cold_share"] + (1 - contract["cold_share"]) * (first - started) /
                   (contract["warm_after"] / 1e6))
        allowed = contract["tip_multiple"] * share * warm * window / work
        bound = allowed + 2 * math.sqrt(allowed) + 2
        if calls / bound > worst[0] / worst[1]:
            worst = (calls, bound)
    return worst


def play(program, folder, told):
    """The burst before processes that are told there are so many of them; the worst window, and the answers."""
    asked, boxes, names = {"s-a": [], "s-b": []}, {}, ("s-a", "s-b", "s-parent", "s-origin")
    for name in names:
        box = listening()
        boxes[name] = f"127.0.0.1:{box.getsockname()[1]}"
        seen = (lambda *_, to=asked[name]: to.append(time.time())) if name in asked else None
        threading.Thread(target=cache_box, args=(box, [0], seen, 0.02), daemon=True).start()
    started = time.time()
    procs = []
    for n in range(PROCESSES):
        reserved = reserved_port()
        port = reserved.getsockname()[1]
        settings = settings_for(f"n{n}", f"127.0.0.1:{port}", boxes.get)
        settings["seed"] = f"{SEED + n:x}"
        for host in settings["known"]["results"][0]["fleet"]["hosts"]:
            if host["host"] in asked:
                host["born_ms"] = int(started * 1000)
        settings["settings"].update(instances=told, me=min(n, told - 1))
        settings["settings"]["family_info"]["count_by_zone"] = [0, told]
        config = os.path.join(folder, f"{told}-{n}.json")
        with open(config, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        procs.append((subprocess.Popen([program, "serve", "--config", config], stderr=subprocess.DEVNULL), port, reserved))
    answers, unanswered, lock = {0: 0, 1: 0, 2: 0}, [0], threading.Lock()

    def client(n, port):
        end = time.monotonic() + BOUND_S
        while not alive_good(port) and time.monotonic() < end:
            time.sleep(0.02)
        rng, sent = random.Random(SEED + n), int(LASTS_S / EVERY_S)
        with socket.create_connection(("127.0.0.1", port), timeout=BOUND_S) as conn:
            for i in range(sent):
                conn.sendall(dispatch(i + 1, b"%016x" % (n << 32 | i), b"%016x" % rng.getrandbits(60),
                                      need=str(NEED_KB).encode()))
                time.sleep(EVERY_S)
            for i in range(sent):
                try:
                    place = reply(conn)[1]
                except (OSError, ConnectionError):
                    with lock:
                        unanswered[0] += sent - i
                    return
                with lock:
                    answers[place] += 1

    clients = [threading.Thread(target=client, args=(n, port)) for n, (_, port, _) in enumerate(procs)]
    for one in clients:
        one.start()
    for one in clients:
        one.join()
    for proc, *_ in procs:
        proc.kill()
        proc.wait()
    worst = max((most_in_a_window(times, settings, started) for times in asked.values()),
                key=lambda w: w[0] / w[1])
    print(f"told of {told}: {worst[0]} calls in a window of at most {worst[1]:.1f}; served {answers[0]}, "
          f"refused {answers[1]}, failed {answers[2]}, unanswered {unanswered[0]}")
    return worst, answers, unanswered[0]


def main():
    print(f"seed {SEED}")
    with tempfile.TemporaryDirectory(prefix="sumackeel-cold-") as folder:
        worst, answers, unanswered = play(sys.argv[1], folder, PROCESSES)
        held = worst[0] <= worst[1] and unanswered == 0 and answers[0] > 0
        control, _, _ = play(sys.argv[1], folder, 1)
        seen = control[0] > control[1]
    print("1 passed, 0 failed" if held and seen else "0 passed, 1 failed")
    sys.exit(0 if held and seen else 1)


if __name__ == "__main__":
    main()
