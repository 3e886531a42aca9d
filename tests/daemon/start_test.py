#!/usr/bin/env python3
"""A real process that is told things while it starts, and many that start while nothing else is there.

- SIGHUP and SIGTERM that come before the program listens for them: its configuration is a FIFO, so that the test
  holds it in the middle of its start for as long as it likes. The one is a reload, the other an end in order.
- Ten processes started at once while discovery accepts and says nothing and no pop cache is up: nine in ten are ready
  within 10 s, by `alive` as the platform's front asks it.
Usage: start_test.py SUMACKEEL
"""
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from wire import BOUND_S, alive_good, fail, listening, reserved_port, settings_for

PROCESSES, READY_OF_THEM, READY_WITHIN_S = 10, 9, 10


def held_in_its_start(program, folder, told):
    """Starts the program on a FIFO, sends `told` while it waits there, lets it go on; the process and its log."""
    fifo, log = os.path.join(folder, f"config-{told}"), os.path.join(folder, f"log-{told}")
    os.mkfifo(fifo)
    settings = json.dumps(settings_for("n0", "127.0.0.1:0", lambda _: "127.0.0.1:1"))
    with open(log, "w", encoding="utf-8") as err:
        proc = subprocess.Popen([program, "serve", "--config", fifo, "--log-level", "info"], stderr=err)
    with open(fifo, "w", encoding="utf-8") as out:  # returns once the program has opened its end
        proc.send_signal(told)
        os.unlink(fifo)
        with open(fifo, "w", encoding="utf-8") as again:  # for who reads it anew
            again.write(settings)
        out.write(settings)
    return proc, log


def until(log, text, proc):
    end = time.monotonic() + BOUND_S
    while time.monotonic() < end:
        with open(log, encoding="utf-8") as lines:
            if text in lines.read():
                return True
        if proc.poll() is not None:
            return False
        time.sleep(0.02)
    return False


def signals_while_starting(program, folder):
    proc, log = held_in_its_start(program, folder, signal.SIGHUP)
    if not until(log, "reload: applied", proc):
        fail(f"SIGHUP while starting: status {proc.poll()}, no reload")
    proc.send_signal(signal.SIGTERM)
    if proc.wait(BOUND_S) != 0:
        fail("SIGTERM behind it: not an end in order")
    proc, log = held_in_its_start(program, folder, signal.SIGTERM)
    if proc.wait(BOUND_S) != 0 or not until(log, "shutdown: started", proc):
        fail(f"SIGTERM while starting: status {proc.returncode}")


def many_at_once(program, folder):
    silent, dead = listening(), listening()
    threading.Thread(target=lambda: [silent.accept() for _ in range(10_000)], daemon=True).start()
    box_at = f"127.0.0.1:{dead.getsockname()[1]}"
    dead.close()
    procs, ready = [], []
    for n in range(PROCESSES):
        reserved = reserved_port()
        port = reserved.getsockname()[1]
        config = os.path.join(folder, f"many-{n}.json")
        with open(config, "w", encoding="utf-8") as out:
            settings = settings_for(f"n{n}", f"127.0.0.1:{port}", lambda _: box_at)
            json.dump(dict(settings, changelog=f"127.0.0.1:{silent.getsockname()[1]}"), out)
        procs.append((reserved, port, config))
    begun = time.monotonic()
    running = []
    for _, port, config in procs:
        running.append((subprocess.Popen([program, "serve", "--config", config], stderr=subprocess.DEVNULL), port))
    while len(ready) < PROCESSES and time.monotonic() < begun + READY_WITHIN_S:
        for proc, port in running:
            if port not in ready and alive_good(port):
                ready.append(port)
        time.sleep(0.02)
    took = time.monotonic() - begun
    for proc, _ in running:
        proc.kill()
        proc.wait()
    print(f"{len(ready)} of {PROCESSES} ready after {took:.2f} s")
    if len(ready) < READY_OF_THEM:
        fail("too few are ready")


def main():
    with tempfile.TemporaryDirectory(prefix="sumackeel-start-") as folder:
        signals_while_starting(sys.argv[1], folder)
        many_at_once(sys.argv[1], folder)
    print("1 passed, 0 failed")


if __name__ == "__main__":
    main()
