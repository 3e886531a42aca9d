#!/usr/bin/env python3
"""A crowd of idle clients fills a real process's descriptors while discovery is down.

The process may hold no more descriptors than its configuration says (RLIMIT_NOFILE). A crowd connects and rests, more
than all places. Discovery is refused, then comes up and tells that one pop cache drains. Wanted: the process lives,
each honest request gets an answer, the change log is followed though the crowd is still there, and the draining pop
cache gets nothing 2 s after it was told.
Usage: descriptors_test.py SUMACKEEL
"""
import json
import os
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time

from wire import BOUND_S, alive_good, cache_box, dispatch, fail, listening, reply_place, reserved_port, settings_for

SOCKETS, CROWD, GRACE_S = 128, 400, 2.0


def change_log(at, event, called):
    """Listens at an address that refused so far, and tells one event to each that calls."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(at)
    listener.listen(16)

    def tell(conn):
        try:
            while b"\r\n\r\n" not in conn.recv(4096):
                pass
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n")
            conn.sendall(f"id: 2\ndata: {event}\n\n".encode())
            called.append(time.monotonic())
            while True:
                time.sleep(1)
                conn.sendall(b":\n\n")
        except OSError:
            pass

    def accept():
        while True:
            threading.Thread(target=tell, args=(listener.accept()[0],), daemon=True).start()
    threading.Thread(target=accept, daemon=True).start()


def main():
    program = sys.argv[1]
    boxes, asked = {}, {"s-a": [], "s-b": []}
    for name in asked:
        box = listening()
        boxes[name] = f"127.0.0.1:{box.getsockname()[1]}"
        threading.Thread(target=cache_box, args=(box, [0], lambda *_, to=asked[name]: to.append(time.monotonic())),
                         daemon=True).start()
    reserved, discovery = reserved_port(), socket.socket()
    discovery.bind(("127.0.0.1", 0))  # bound and not listened on: refused
    log_at = discovery.getsockname()
    port = reserved.getsockname()[1]
    settings = settings_for("n0", f"127.0.0.1:{port}", lambda name: boxes.get(name, boxes["s-b"]))
    settings["limits"] = {"cores": 1.0, "memory_mb": 64, "sockets": SOCKETS}
    settings["changelog"] = f"127.0.0.1:{log_at[1]}"
    drained = dict(settings["known"]["results"][0]["fleet"]["hosts"][0], health="DRAINING")
    event = json.dumps({"seq": 2, "fleet": {"seq": 2, "whole": False, "hosts": [drained]}})

    with tempfile.TemporaryDirectory(prefix="sumackeel-descriptors-") as folder:
        config = os.path.join(folder, "config.json")
        with open(config, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        proc = subprocess.Popen([program, "serve", "--config", config], stderr=subprocess.DEVNULL,
                                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS)))
        try:
            play(proc, port, discovery, log_at, event, asked)
        finally:
            proc.kill()
            proc.wait()
    print("1 passed, 0 failed")


def play(proc, port, discovery, log_at, event, asked):
    end = time.monotonic() + BOUND_S
    while not alive_good(port):
        if time.monotonic() > end:
            fail("not ready")
        time.sleep(0.02)
    crowd = [socket.create_connection(("127.0.0.1", port), timeout=BOUND_S) for _ in range(CROWD)]
    sent = [0]

    def honest():
        """One request on a connection of its own, as a client that finds no place would come again."""
        sent[0] += 1
        with socket.create_connection(("127.0.0.1", port), timeout=BOUND_S) as conn:
            conn.sendall(dispatch(1, b"%016x" % (0x7a000000 + sent[0]), b"%016x" % (sent[0] * 7919)))
            try:
                return reply_place(conn) >= 0
            except (OSError, ConnectionError):
                return False

    unanswered = sum(not honest() for _ in range(20))
    called = []
    discovery.close()
    change_log(log_at, event, called)
    end = time.monotonic() + BOUND_S
    while not called:
        if time.monotonic() > end:
            fail("the change log is not called while the crowd rests")
        unanswered += not honest()
        for i, one in enumerate(crowd):  # who was let go comes again
            one.setblocking(False)
            try:
                if one.recv(1) == b"":
                    raise ConnectionError
            except BlockingIOError:
                continue
            except OSError:
                one.close()
                crowd[i] = socket.create_connection(("127.0.0.1", port), timeout=BOUND_S)
    told = called[0]
    while time.monotonic() < told + GRACE_S + 1:
        unanswered += not honest()
    late = [when for when in asked["s-a"] if when > told + GRACE_S]
    print(f"{sent[0]} requests, {unanswered} without an answer; crowd of {len(crowd)}, "
          f"s-a asked {len(asked['s-a'])} times, {len(late)} of them too late")
    if unanswered or late or not asked["s-a"] or proc.poll() is not None:
        fail(f"status {proc.poll()}")


if __name__ == "__main__":
    main()
