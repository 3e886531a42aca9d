#!/usr/bin/env python3
"""How long the operators' calls take while a crowd holds the clients' door, and what honest clients get.

One proxy with a quarter of the usual descriptors (192) and memory (48 MB), one pop cache that answers at
once, a crowd that keeps CROWD connections open (half silent, half with half a request, each one replaced
as soon as the proxy closes it), a steady client with one request a connection, and a readiness call every
50 ms. Prints the median and worst answer time of the calls, the honest requests answered and lost, and
the figures of /ops/stats at the end.

    python3 bench/ops_latency.py build/sumackeel [--crowd 2000] [--seconds 10]
"""
import argparse
import importlib.util
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time

here = os.path.dirname(os.path.abspath(__file__))
spec = importlib.util.spec_from_file_location("handover", os.path.join(here, "..", "tests", "daemon", "handover_test.py"))
story = importlib.util.module_from_spec(spec)
spec.loader.exec_module(story)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--crowd", type=int, default=2000)
    parser.add_argument("--seconds", type=float, default=10)
    args = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="sumackeel-ops-bench-")
    box = socket.socket()
    box.bind(("127.0.0.1", 0))
    box.listen(256)
    served = [0]
    threading.Thread(target=story.cache_box, args=(box, served), daemon=True).start()
    box_at = f"127.0.0.1:{box.getsockname()[1]}"
    port, ops = story.free_port(), story.free_port()
    settings = json.load(open(os.path.join(here, "..", "example", "config.json")))
    hosts = [{"host": name, "dial": box_at, "site": site, "class": kind, "block": 1, "health": "SERVING",
              "share": 8, "born_ms": 0}
             for name, site, kind in (("s-a", "edge-1", "small"), ("s-parent", "coast", "parent"),
                                      ("s-origin", "coast", "origin"))]
    settings.update({"listen": f"127.0.0.1:{port}", "changelog": "", "limits": {"memory_mb": 48, "sockets": 192},
                     "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"seq": 1, "whole": True, "hosts": hosts}}]}})
    config = os.path.join(folder, "config.json")
    json.dump(settings, open(config, "w"))
    env = dict(os.environ, GW_CONFIG=config, GW_OPS=f"127.0.0.1:{ops}", TMPDIR=folder)
    proc = subprocess.Popen([args.program, "serve", "--log-level", "error"], env=env)
    while story.ops_call(ops, "GET", "/ops/readiness") != 200:
        time.sleep(0.02)

    going = True
    counts = {"answered": 0, "other": 0, "lost": 0}
    half = story.dispatch(1, b"00000000000000f1", b"7f3a9c21e0b4d655")[:20]

    def crowd():
        held = []
        while going:
            while len(held) < args.crowd and going:
                try:
                    conn = socket.socket()
                    conn.setblocking(False)
                    conn.connect_ex(("127.0.0.1", port))
                    if len(held) % 2:
                        try:
                            conn.send(half)
                        except OSError:
                            pass
                    held.append(conn)
                except OSError:
                    break
            time.sleep(0.05)
            alive = []
            for conn in held:  # those the proxy closed make room for new ones
                try:
                    if conn.recv(1) == b"":
                        conn.close()
                        continue
                except BlockingIOError:
                    pass
                except OSError:
                    conn.close()
                    continue
                alive.append(conn)
            held = alive
        for conn in held:
            conn.close()

    def steady():
        n = 0
        while going:
            n += 1
            try:
                with socket.create_connection(("127.0.0.1", port), timeout=5) as conn:
                    conn.sendall(story.dispatch(1, b"%016x" % (0x6b000000 + n), b"%016x" % (n * 7919)))
                    counts["answered" if story.reply_place(conn) == 0 else "other"] += 1
            except (OSError, ConnectionError):
                counts["lost"] += 1

    threads = [threading.Thread(target=crowd), threading.Thread(target=steady)]
    for thread in threads:
        thread.start()
    times, late = [], 0
    end = time.monotonic() + args.seconds
    while time.monotonic() < end:
        begun = time.monotonic()
        status = story.ops_call(ops, "GET", "/ops/readiness")
        took = time.monotonic() - begun
        times.append(took)
        late += status != 200 or took > 1.0
        time.sleep(0.05)
    stats = []
    story.ops_call(ops, "GET", "/ops/stats", stats)
    going = False
    for thread in threads:
        thread.join()
    proc.terminate()
    proc.wait(timeout=10)
    print(f"crowd {args.crowd}, {args.seconds:.0f} s: {len(times)} readiness calls, median "
          f"{statistics.median(times) * 1000:.1f} ms, worst {max(times) * 1000:.1f} ms, {late} late or no")
    print(f"honest requests: {counts['answered']} answered, {counts['other']} refused or failed, "
          f"{counts['lost']} lost")
    print(" ".join(stats[0].split("\n")) if stats else "no stats")
    sys.exit(0)


if __name__ == "__main__":
    main()
