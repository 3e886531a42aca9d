#!/usr/bin/env python3
"""Two real processes hand the clients' socket over on loopback, under a steady loop of requests.

The test holds the listening socket as the platform does and hands it to each process as a descriptor
named by GW_INHERITED_FD. While a client sends one request a connection, a second process starts, says
yes on its own ops address, and the first gets SIGTERM. No request may be refused, closed or lost, the
first process must end by itself with status 0, and a ban must cross over through the hand-over file.
Usage: handover_test.py SUMACKEEL
"""
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

from wire import BOUND_S, cache_box, dispatch, ops_call, reply_place, reserved_port, settings_for


def main():
    program = sys.argv[1]
    folder = tempfile.mkdtemp(prefix="sumackeel-handover-")
    box = socket.socket()
    box.bind(("127.0.0.1", 0))
    box.listen(64)
    served = [0]
    threading.Thread(target=cache_box, args=(box, served), daemon=True).start()
    box_at = f"127.0.0.1:{box.getsockname()[1]}"

    clients = socket.socket()
    clients.bind(("127.0.0.1", 0))
    clients.listen(512)
    port = clients.getsockname()[1]
    settings = settings_for("n0", f"127.0.0.1:{port}", lambda _: box_at)
    config = os.path.join(folder, "config.json")
    with open(config, "w") as out:
        json.dump(settings, out)

    def start(ops_port):
        env = dict(os.environ, GW_CONFIG=config, GW_OPS=f"127.0.0.1:{ops_port}",
                   GW_INHERITED_FD=str(clients.fileno()), TMPDIR=folder)
        proc = subprocess.Popen([program, "serve", "--log-level", "info"], env=env, pass_fds=[clients.fileno()],
                                stderr=open(os.path.join(folder, f"{ops_port}.log"), "w"))
        end = time.monotonic() + BOUND_S
        while ops_call(ops_port, "GET", "/ops/readiness") != 200:
            if time.monotonic() > end or proc.poll() is not None:
                sys.exit(f"FAIL: the process on ops port {ops_port} never said yes")
            time.sleep(0.02)
        return proc

    reserved = [reserved_port(), reserved_port()]
    old_ops, new_ops = (one.getsockname()[1] for one in reserved)
    old = start(old_ops)
    if ops_call(old_ops, "POST", "/ops/pop-caches/down/s-a") != 200:
        sys.exit("FAIL: the ban was refused")

    going, counts = True, {"answered": 0, "other": 0, "lost": 0}

    def steady():
        n = 0
        while going:
            n += 1
            try:
                with socket.create_connection(("127.0.0.1", port), timeout=BOUND_S) as conn:
                    conn.sendall(dispatch(1, b"%016x" % (0x5a000000 + n), b"%016x" % (n * 7919)))
                    counts["answered" if reply_place(conn) == 0 else "other"] += 1
            except (OSError, ConnectionError, struct.error):
                counts["lost"] += 1

    client = threading.Thread(target=steady)
    client.start()
    time.sleep(0.5)
    new = start(new_ops)
    old.send_signal(signal.SIGTERM)
    status = old.wait(timeout=BOUND_S)
    time.sleep(0.5)
    going = False
    client.join(timeout=BOUND_S)
    stats = []
    stats_ok = ops_call(new_ops, "GET", "/ops/stats", stats) == 200
    banned_still = stats_ok and "gw_pop_caches_down 1\n" in stats[0]
    new.send_signal(signal.SIGTERM)
    new.wait(timeout=BOUND_S)
    print(f"answered {counts['answered']}, other answers {counts['other']}, lost {counts['lost']}, "
          f"old status {status}, cache served {served[0]}")
    with open(os.path.join(folder, f"{old_ops}.log")) as log:
        shutdown_lines = [line for line in log if "shutdown: finished" in line]
    failed = counts["lost"] > 0 or counts["other"] > 0 or status != 0 or counts["answered"] < 20
    failed = failed or not banned_still or not stats_ok or not shutdown_lines
    print("1 passed, 0 failed" if not failed else "0 passed, 1 failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
