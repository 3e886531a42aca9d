#!/usr/bin/env python3
"""A seeded soak test of consecutive upgrades on one inherited socket, checked from the clients' view.

Guards against an accepted request that loses its connection without a response while one process replaces another. Each
seed draws the pop caches' delays, failing library calls, deadlines, the number of clients, whether many idle clients hold
connections, how often SIGTERM is sent, and pauses of the old process. Clients use open connections until the earliest time
at which the old process may be killed; admin API calls go to both processes, and the one answered last is in force at the end.
Usage: upgrade_soak.py SUMACKEEL LIBRARY FIRST LAST [AT_ONCE]
"""
import concurrent.futures
import random
import select
import signal
import socket
import sys
import threading
import time

from rig import BOUND_S, SERVED, Boxes, Failure, Proxy, want
from wire import dispatch, end_is_here, listening, ops_call, reply

KILLED_AFTER_S = 3.7  # earliest SIGKILL after the first SIGTERM
PAUSE_S = 0.02        # after a refusal
LATE_S = 0.5          # grace after a request's deadline for its response to arrive
IN_FORCE_WITHIN_S = 1.0
UPGRADES = 3
POP_CACHES = ("s-a", "s-b")
FAULTS = ("poll=EINTR/6", "read=SHORT/6", "write=SHORT/6", "connect=EADDRNOTAVAIL+ETIMEDOUT/20", "accept=ECONNABORTED+EPROTO+EINTR/12")


class Plan:
    """The parameters drawn from one seed."""

    def __init__(self, seed):
        self.draw = draw = random.Random(seed)
        self.seed = seed
        self.delay = draw.choice([0, 0.01, 0.05, 0.3])
        self.timeouts = draw.choice([(3.0,), (0.3, 3.0), (0.1, 1.0)])
        self.clients = draw.choice([8, 16, 32])
        self.crowd = draw.choice([0, 0, 150, 600])
        self.faults = " ".join(draw.sample(FAULTS, draw.randint(0, 2)))
        self.signals = draw.randint(1, 4)
        self.pause = draw.uniform(0.1, 0.5) if draw.random() < 0.3 else 0.0

    def __str__(self):
        return (f"seed {self.seed}: delay {self.delay} s, timeouts {self.timeouts}, {self.clients} clients, crowd {self.crowd}, "
                f"{self.signals} signals, pause {self.pause:.1f} s, faults '{self.faults}'")


class Client(threading.Thread):
    """Sends requests without pause, on one persistent connection or on a new one for each request."""

    def __init__(self, run, number):
        super().__init__(daemon=True)
        self.run_, self.number, self.fresh = run, number, number % 4 == 0
        self.draw = random.Random(run.plan.seed * 1000 + number)
        self.conn, self.sequence = None, 0

    def run(self):
        while self.run_.going:
            self.ask()
            if self.fresh:
                self.close()

    def end_is_here(self):
        """Whether the peer has closed the connection, even if responses are still unread. On loopback a FIN arrives the moment
        it is sent: if it hasn't arrived, everything sent before reached the peer ahead of the close."""
        return end_is_here(self.conn)

    def close(self):
        if self.conn:
            self.conn.close()
        self.conn, self.sequence = None, 0

    def ask(self):
        run, timeout, reused = self.run_, self.draw.choice(self.run_.plan.timeouts), self.conn is not None
        try:
            if not reused:
                self.conn = socket.create_connection(("127.0.0.1", run.port), timeout=BOUND_S)
        except OSError as why:
            run.wrong.append(f"client {self.number} could not connect: {why!r}")
            return
        self.sequence += 1
        ident, sent, crossed = b"%016x" % (0x5a0000000000 + next(run.numbers)), time.monotonic(), True
        try:
            self.write(ident, timeout)
            crossed = self.end_is_here()
            place = reply(self.conn)[1]
            run.count("served" if place == SERVED else "refused or failed")
            if time.monotonic() - sent > timeout + LATE_S:
                run.late += 1
            if place != SERVED:
                time.sleep(0.05)
        except (OSError, ConnectionError) as why:
            if crossed and reused:
                run.count("crossed")
            else:
                run.lost(ident, f"client {self.number}, {timeout} s, request {self.sequence} of its connection", sent, why)
            self.close()

    def write(self, ident, timeout):
        self.conn.sendall(dispatch(self.sequence, ident, b"%016x" % self.draw.randrange(400), timeout=b"%d" % (timeout * 1000)))


class Overlapping(Client):
    """Keeps several requests open on one connection, as a load balancer does."""

    def __init__(self, run, number):
        super().__init__(run, number)
        self.fresh, self.most_open, self.open, self.pause_until = False, 2 + number % 5, {}, 0.0

    def ask(self):
        run = self.run_
        try:
            if not self.conn:
                self.conn = socket.create_connection(("127.0.0.1", run.port), timeout=BOUND_S)
            while len(self.open) < self.most_open and time.monotonic() >= self.pause_until and not self.end_is_here():
                self.send()
            if self.open and select.select([self.conn], [], [], PAUSE_S)[0]:
                self.take()
            if not self.open and self.end_is_here():
                self.close()
        except OSError as why:
            self.end(repr(why))

    def run(self):
        super().run()
        while self.conn and self.open:
            try:
                self.take()
            except OSError as why:
                self.end(repr(why))
        self.close()

    def send(self):
        self.sequence += 1
        timeout = self.draw.choice(self.run_.plan.timeouts)
        ident = b"%016x" % (0x5a0000000000 + next(self.run_.numbers))
        self.open[self.sequence] = (ident, time.monotonic(), timeout, True)
        self.write(ident, timeout)
        if not self.end_is_here():
            self.open[self.sequence] = (ident, time.monotonic(), timeout, False)

    def take(self):
        sequence, place = reply(self.conn)
        _, sent, timeout, _ = self.open.pop(sequence)
        self.run_.count("served" if place == SERVED else "refused or failed")
        if time.monotonic() - sent > timeout + LATE_S:
            self.run_.late += 1
        if place != SERVED:
            self.pause_until = time.monotonic() + PAUSE_S

    def end(self, why):
        """The connection has ended: requests sent before its close without a response are lost."""
        for sequence, (ident, sent, timeout, crossed) in self.open.items():
            if crossed:
                self.run_.count("crossed")
            else:
                self.run_.lost(ident, f"client {self.number}, {timeout} s, request {sequence}, {len(self.open)} open", sent, why)
        self.open = {}
        self.close()


class Run:
    def __init__(self, program, library, seed):
        self.program, self.library, self.plan = program, library, Plan(seed)
        self.boxes, self.socket = Boxes(self.plan.delay), listening()
        self.port, self.folder, self.began = self.socket.getsockname()[1], None, time.monotonic()
        self.going, self.counts, self.wrong, self.late, self.events = True, {}, [], 0, []
        self.lock, self.numbers, self.down, self.all = threading.Lock(), iter(range(1, 1 << 40)), set(), []

    def count(self, what):
        with self.lock:
            self.counts[what] = self.counts.get(what, 0) + 1

    def lost(self, ident, which, sent, why):
        """Reports a request that reached the proxy but got no response; whether a pop cache saw it shows how far it got."""
        reached = [at for at, request, _ in list(self.boxes.seen) if request == ident.decode()]
        self.wrong.append(f"{ident.decode()} ({which}, sent {sent - self.began:.3f} s in): no answer after "
                          f"{time.monotonic() - sent:.3f} s: {why!r}; {len(reached)} attempts")

    def event(self, text):
        self.events.append(f"{time.monotonic() - self.began:.3f} s: {text}")

    def start(self):
        proxy = Proxy(self.program, self.library, self.boxes.at, self.plan.faults, seed=self.plan.seed, folder=self.folder,
                      inherited=self.socket)
        self.folder = proxy.folder
        self.all.append(proxy)
        end = time.monotonic() + BOUND_S
        while ops_call(proxy.ops, "GET", "/ops/readiness") != 200:
            want(time.monotonic() < end, f"not ready: {proxy.said()[-500:]}")
            time.sleep(0.02)
        self.event(f"process {len(self.all)} is ready")
        return proxy

    def call(self, proxy):
        """An admin API call to one of the processes; it counts once it is reported as stored."""
        ident = self.plan.draw.choice(POP_CACHES)
        verb = "up" if self.down else "down"
        ident = next(iter(self.down), ident)
        status, said = proxy.call(f"/ops/pop-caches/{verb}/{ident}")
        want(status == 200, f"{verb} {ident}: {status} {said!r}")
        self.event(f"{verb} {ident} at process {self.all.index(proxy) + 1}: {said!r}")
        (self.down.add if verb == "down" else self.down.discard)(ident)
        return "not kept" not in said

    def crowd(self):
        idle = []
        for _ in range(self.plan.crowd):
            try:
                idle.append(socket.create_connection(("127.0.0.1", self.port), timeout=BOUND_S))
            except OSError:
                break
        return idle

    def upgrade(self, old):
        new = self.start()
        self.call(self.plan.draw.choice((old, new)))
        first = time.monotonic()
        for _ in range(self.plan.signals):
            if old.process.poll() is None:
                old.process.send_signal(signal.SIGTERM)
            time.sleep(self.plan.draw.uniform(0, 0.2))
        self.event(f"SIGTERM, first {first - self.began:.3f} s in")
        if self.plan.pause and old.process.poll() is None:
            old.process.send_signal(signal.SIGSTOP)
            time.sleep(self.plan.pause)
            old.process.send_signal(signal.SIGCONT)
        self.call(new)
        while old.process.poll() is None and time.monotonic() < first + KILLED_AFTER_S:
            time.sleep(0.01)
        self.event(f"the old process left with {old.process.poll()} {time.monotonic() - first:.2f} s after SIGTERM")
        if old.process.poll() is None:
            old.process.kill()
            old.process.wait()
            self.wrong.append("the old process was still there at the kill")
        return new

    def play(self):
        proxy = self.start()
        clients = [(Overlapping if number % 2 else Client)(self, number) for number in range(self.plan.clients)]
        for client in clients:
            client.start()
        try:
            time.sleep(0.5)
            for _ in range(UPGRADES):
                idle = self.crowd()
                proxy = self.upgrade(proxy)
                for conn in idle:
                    conn.close()
                time.sleep(0.3)
            while not self.call(proxy):
                time.sleep(0.2)
            end = time.monotonic() + IN_FORCE_WITHIN_S
            shown = f"gw_pop_caches_down {len(self.down)}\n"
            while shown not in proxy.call("/ops/stats", "GET")[1]:
                want(time.monotonic() < end, f"not in force: {shown!r}")
        finally:
            self.going = False
            for client in clients:
                client.join(BOUND_S)
            for one in self.all:
                one.end(keep_folder=True)
            self.socket.close()
        want(not self.wrong, "; ".join(self.wrong[:5]))
        want(self.late == 0, f"{self.late} late")
        want(self.counts.get("served", 0) > 20, "hardly anything served")
        self.folder.cleanup()


def one(program, library, seed):
    run = Run(program, library, seed)
    try:
        run.play()
        return f"ok   {run.plan}: {run.counts}", True
    except Failure as why:
        return f"FAIL {run.plan}: {run.counts}: {why}\n  " + "\n  ".join(run.events) + f"\n  files: {run.folder.name}", False


def main():
    program, library, first, last = sys.argv[1], sys.argv[2], int(sys.argv[3]), int(sys.argv[4])
    at_once = int(sys.argv[5]) if len(sys.argv) > 5 else 2
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(at_once) as pool:
        for text, passed in pool.map(one, [program] * (last - first + 1), [library] * (last - first + 1), range(first, last + 1)):
            print(text, flush=True)
            failed += not passed
    print(f"{last - first + 1 - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
