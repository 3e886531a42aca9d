#!/usr/bin/env python3
"""A seeded soak test of one real process, checked from what its clients and emulated servers saw.

Each seed draws deadlines, pop cache behaviour, failing library calls, a wall clock step, a pause of the process,
consecutive reloads that move the change log, a drained pop cache, and for some seeds many idle clients. Meanwhile operators
make consecutive calls (/ops/drain, /ops/pop-caches, /ops/readiness; drains of any length, with silent callers ahead of
them), and clients with different behaviour send requests (operators.py). All keep using open connections until the earliest
SIGKILL: the longest deadline (3 s at most) plus 0.7 s after the first of several SIGTERMs, at any moment of a drain. The
process has to exit by itself before that.
Usage: soak.py SUMACKEEL LIBRARY FIRST LAST [AT_ONCE]
"""
import asyncio
import concurrent.futures
import json
import os
import random
import select
import signal
import socket
import sys
import threading
import time

from operators import Habits, Operators
from rig import BOUND_S, SERVED, Failure, Proxy
from wire import cancel, dispatch, reply

OBEY_DRAIN_S, LEFT_S, LIMIT_SLACK_S, LATE_S, CROSSING_S = 2.05, 0.1, 0.15, 0.5, 0.06
NEW_CONNECTIONS_S, KILL_AFTER_S = 0.4, 0.7
CLIENTS, SERVED_FOR_S, LONG_SERVED_FOR_S, ACCEPT_STILL_S = 14, 4.0, 8.0, 0.6
CONNECT_ERRORS = "EADDRNOTAVAIL+ENETUNREACH+EHOSTUNREACH+ETIMEDOUT"
ACCEPT_ERRORS = "ECONNABORTED+ENFILE+ENOBUFS+EMFILE+EPROTO+EINTR"


class Plan:
    """The parameters drawn from one seed."""

    def __init__(self, seed):
        draw = random.Random(seed)
        self.seed, self.draw = seed, draw
        self.deadline = draw.choice([0.1, 0.3, 1.0, 3.0])
        faults = [f"accept={ACCEPT_ERRORS}/{draw.choice([6, 12])}", f"connect={CONNECT_ERRORS}/{draw.choice([6, 20])}",
                  f"poll=EINTR/{draw.choice([4, 10])}", f"read=SHORT/{draw.choice([4, 10])}",
                  f"write=SHORT/{draw.choice([4, 10])}", f"socket=ENFILE+ENOBUFS/{draw.choice([10, 30])}",
                  f"accept={draw.choice(['ENFILE', 'ENOMEM'])}/1@2-{2 + ACCEPT_STILL_S}"]
        self.faults = draw.sample(faults, draw.randint(0, 4))
        if draw.random() < 0.5:
            self.faults.append(f"clock={draw.choice([5, 3600, -5, -3600])}@{draw.uniform(1, 4):.2f}")
        self.crowd = draw.random() < 0.25
        self.pause = draw.uniform(0.3, 1.2) if draw.random() < 0.25 else 0
        self.reloads = draw.randint(0, 4)
        self.hang_at_end = draw.random() < 0.4
        self.trouble = draw.choice([0.0, 0.1, 0.3])
        self.ends = draw.randint(1, 4)
        self.served_for = draw.choice([SERVED_FOR_S, LONG_SERVED_FOR_S])

    def __str__(self):
        return (f"seed {self.seed}: deadline {self.deadline} s, trouble {self.trouble}, crowd {self.crowd}, pause "
                f"{self.pause:.1f} s, {self.reloads} reloads, {self.ends} ends, hang {self.hang_at_end}, served for "
                f"{self.served_for:.0f} s, {self.faults}")


class Servers:
    """Pop caches, a parent, an origin and two change logs, on an event loop in a separate thread."""

    def __init__(self, plan):
        self.plan, self.seen, self.enrols, self.doubled = plan, [], {}, []
        self.names = ["s-a", "s-b", "s-c", "s-parent", "s-origin"]
        self.ports, self.logs, self.drained_at, self.hanging = {}, [], None, False
        self.loop, self.up = asyncio.new_event_loop(), threading.Event()
        threading.Thread(target=self.loop.run_until_complete, args=(self.run(),), daemon=True).start()
        self.up.wait(BOUND_S)

    async def run(self):
        for name in self.names:
            server = await asyncio.start_server(lambda r, w, n=name: self.serve(n, r, w), "127.0.0.1", 0, backlog=512)
            self.ports[name] = server.sockets[0].getsockname()[1]
        for _ in range(2):
            server = await asyncio.start_server(self.tell, "127.0.0.1", 0)
            self.logs.append(server.sockets[0].getsockname()[1])
        self.stopped = asyncio.Event()
        self.up.set()
        await self.stopped.wait()
        others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    def stop(self):
        self.loop.call_soon_threadsafe(self.stopped.set)

    def hosts(self, drained=False):
        kind = {"s-parent": ("coast", "parent"), "s-origin": ("coast", "origin")}
        return [{"host": name, "dial": f"127.0.0.1:{self.ports[name]}", "site": kind.get(name, ("edge-1", ""))[0],
                 "class": kind.get(name, ("", "small"))[1], "block": 1, "share": 8, "born_ms": 0,
                 "health": "DRAINING" if drained and name == "s-b" else "SERVING"} for name in self.names]

    async def tell(self, reader, writer):
        try:
            call = await reader.readuntil(b"\r\n\r\n")
            behind = int(call.split(b"Last-Event-ID: ")[1].split(b"\r\n")[0])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n")
            while True:
                if self.drained_at and behind < 2:
                    behind = 2
                    fleet = {"seq": 2, "fleet": {"seq": 2, "whole": False, "hosts": [self.hosts(drained=True)[1]]}}
                    writer.write(f"id: 2\ndata: {json.dumps(fleet)}\n\n".encode())
                writer.write(b":\n\n")
                await writer.drain()
                await asyncio.sleep(0.1)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def serve(self, name, reader, writer):
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if not words or words[0] != "REQ":
                    continue
                await reader.readexactly(int(words[3]) + 2)
                fields = dict(item.split("=", 1) for item in words[2].split(",") if "=" in item)
                self.seen.append((time.monotonic(), name, words[1], int(fields["limit"]) / 1000))
                asyncio.ensure_future(self.answer(name, words[1], fields, writer))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, name, request, fields, writer):
        draw, enrol = self.plan.draw, fields["cls"] == "enrol"
        how = draw.random()
        if how < self.plan.trouble / 3:  # the request is never executed
            writer.write(f"{request} {draw.choice(['LACK', 'WAIT'])} - 0\r\n\r\n".encode())
            return
        if enrol:
            if self.enrols.get(request):
                self.doubled.append(request)
            self.enrols[request] = True
        if self.hanging and name in ("s-a", "s-b"):
            return
        if how < self.plan.trouble:
            end = draw.choice(["BROKE", "reset", "half", "silent", "close"])
            if end == "BROKE":
                writer.write(f"{request} BROKE - 0\r\n\r\n".encode())
            elif end == "half":
                writer.write(f"{request} DONE digest=e1,dated=1764576000123,tell=pulled 10\r\nabc".encode())
            elif end == "reset":
                writer.transport.abort()
            elif end == "close":
                writer.close()
            return
        await asyncio.sleep(draw.uniform(0, 0.03))
        writer.write(f"{request} DONE digest=e1,dated=1764576000123,tell=pulled 2\r\nok\r\n".encode())


class Lag(threading.Thread):
    """The worst scheduling delay of this test program: delays up to this size are its own, not the proxy's."""

    def __init__(self):
        super().__init__(daemon=True)
        self.worst, self.going = 0.0, True

    def run(self):
        while self.going:
            began = time.monotonic()
            time.sleep(0.01)
            self.worst = max(self.worst, time.monotonic() - began - 0.01)


class Client(threading.Thread):
    lock, numbers = threading.Lock(), iter(range(1, 1 << 40))

    def __init__(self, run, place):
        super().__init__(daemon=True)
        self.run_, self.draw = run, random.Random(run.plan.seed * 1000 + place)
        self.fresh, self.leaves, self.rests = place % 4 == 0, place % 5 == 1, place % 3 == 2
        self.conn, self.sequence = None, 0

    def close(self):
        if self.conn:
            self.conn.close()
        self.conn = None

    def connect(self):
        ended = self.run_.ended_at
        if ended and time.monotonic() > ended + NEW_CONNECTIONS_S:
            return False
        try:
            self.conn, self.sequence = socket.create_connection(("127.0.0.1", self.run_.proxy.port), timeout=BOUND_S), 0
            self.conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            self.run_.count("away")
            time.sleep(0.02)
        return True

    def run(self):
        while self.run_.going:
            if self.conn and select.select([self.conn], [], [], 0)[0]:
                self.close()  # closed while idle
            if not self.conn and not self.connect():
                return
            if self.conn:
                self.ask()
            if self.fresh:
                self.close()
            if self.rests:
                time.sleep(self.draw.uniform(0.1, 0.8))
        self.close()

    def ask(self):
        plan, run = self.run_.plan, self.run_
        with Client.lock:
            number = next(Client.numbers)
        timeout = plan.deadline if self.draw.random() > 0.1 else min(plan.deadline, 0.05)
        kind = self.draw.choice([b"sheet", b"video", b"video", b"enrol"])
        ident = b"%016x" % (plan.seed << 40 | number)
        reused, self.sequence = self.sequence > 0, self.sequence + 1
        sent = time.monotonic()
        try:
            self.conn.sendall(dispatch(self.sequence, ident, b"%016x" % (number * 7919 % 60), kind,
                                       timeout=b"%d" % (timeout * 1000)))
        except OSError:
            return self.close()
        run.asked[ident.decode()] = (sent, timeout)
        if self.leaves and self.draw.random() < 0.5:
            time.sleep(self.draw.uniform(0, 0.05))
            if self.draw.random() < 0.5:
                self.close()
            else:
                try:
                    self.conn.sendall(cancel(self.sequence))
                except OSError:
                    pass
                self.close()
            run.left[ident.decode()] = time.monotonic()
            return None
        try:
            self.conn.settimeout(timeout + LATE_S + 2)
            got, place = reply(self.conn)
            took = time.monotonic() - sent
            run.count("served" if place == SERVED else "refused or failed")
            if got != self.sequence:
                run.wrong.append(f"{ident}: answer of {got} in place of {self.sequence}")
            if took > timeout + LATE_S:
                run.late.append((ident, took - timeout))
        except (OSError, ConnectionError) as why:
            # A close that crossed a request on an idle connection is seen at once, and the request is sent again.
            if reused and isinstance(why, ConnectionError) and time.monotonic() - sent < CROSSING_S:
                run.count("crossed by a reset" if isinstance(why, ConnectionResetError) else "crossed")
            else:
                run.wrong.append(f"{ident.decode()} ({kind.decode()}, {timeout} s, sent {sent - run.proxy.began:.2f} s in, "
                                 f"reused {reused}) got no answer: {why!r} after {time.monotonic() - sent:.3f} s")
            self.close()
        return None


class Run:
    def __init__(self, program, library, seed):
        self.plan, self.going, self.ended_at = Plan(seed), True, None
        self.counts, self.wrong, self.late, self.asked, self.left = {}, [], [], {}, {}
        self.servers, self.lag = Servers(self.plan), Lag()
        self.lag.start()
        # A test build checks for leaks for 60 ms after the program has ended, and would be killed during that.
        self.proxy = Proxy(program, library, "", " ".join(self.plan.faults), seed, change=self.settings,
                           env={"ASAN_OPTIONS": "detect_leaks=0:verify_asan_link_order=0"})
        self.habits = Habits(self.proxy.port, random.Random(seed + 1), self.plan.deadline)
        self.operators = Operators(self, self.habits, random.Random(seed + 2))

    def still(self):
        """How long the process is stopped or accepts no connections."""
        closed = any(rule.endswith(f"@2-{2 + ACCEPT_STILL_S}") for rule in self.plan.faults)
        return self.plan.pause + ACCEPT_STILL_S * closed

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def settings(self, settings):
        hosts = self.servers.hosts()
        settings["known"] = {"seq": 1, "results": [{"seq": 1, "fleet": {"seq": 1, "whole": True, "hosts": hosts}}]}
        settings["changelog"] = f"127.0.0.1:{self.servers.logs[0]}"
        settings["limits"] = {"cores": 1.0, "memory_mb": 96, "sockets": 160 if self.plan.crowd else 512}
        for one in settings["settings"]["classes"]:
            one.update(give_up=int(self.plan.deadline * 1e6), aim=int(self.plan.deadline * 4e5))

    def play(self):
        plan, proxy = self.plan, self.proxy
        proxy.ready(20)
        crowd = [socket.create_connection(("127.0.0.1", proxy.port), timeout=BOUND_S) for _ in range(200 * plan.crowd)]
        clients = [Client(self, place) for place in range(CLIENTS)]
        for client in clients:
            client.start()
        self.habits.start()
        self.habits.up.wait(BOUND_S)
        self.operators.start()
        began = time.monotonic()
        if plan.pause:
            time.sleep(0.8)
            proxy.process.send_signal(signal.SIGSTOP)
            time.sleep(plan.pause)
            proxy.process.send_signal(signal.SIGCONT)
        self.servers.drained_at = time.monotonic()
        for turn in range(plan.reloads):
            proxy.write(dict(proxy.settings, changelog=f"127.0.0.1:{self.servers.logs[(turn + 1) % 2]}"))
            proxy.process.send_signal(signal.SIGHUP)
            time.sleep(plan.draw.uniform(0, 0.3))
        time.sleep(max(0.0, began + plan.served_for - time.monotonic()))
        self.servers.hanging = plan.hang_at_end
        self.operators.stop()
        self.ended_at = time.monotonic()
        threading.Timer(NEW_CONNECTIONS_S, self.close_front).start()
        kill_at = self.ended_at + min(plan.deadline, 3.0) + KILL_AFTER_S
        for turn in range(plan.ends):
            proxy.process.send_signal(signal.SIGTERM if turn == 0 or plan.draw.random() < 0.7 else signal.SIGHUP)
            time.sleep(plan.draw.uniform(0, 0.15))
        while proxy.process.poll() is None and time.monotonic() < kill_at:
            time.sleep(0.005)
        gone = proxy.process.poll()
        spare = kill_at - time.monotonic()
        proxy.kill()
        time.sleep(0.02)
        self.habits.stop()
        self.operators.join(BOUND_S)
        self.going = self.lag.going = False
        for client in clients:
            client.join(BOUND_S)
        for one in crowd:
            one.close()
        if gone is None and self.lag.worst < 0.05:
            self.wrong.append("it had not left before SIGKILL")
        self.judge()
        return spare

    def close_front(self):
        self.habits.world.may_connect = False

    def judge_operators(self):
        world = self.habits.world
        self.wrong += self.operators.wrong
        self.wrong += [f"{habit}: {why}" for habit, why in world.lost()]
        self.wrong += [f"s-c was asked {when - since:.2f} s after its ban was to hold" for since, until in
                       self.operators.bans for when, name, _, _ in self.servers.seen
                       if name == "s-c" and since + self.lag.worst < when < until]
        late = LATE_S + self.lag.worst + self.still()
        self.wrong += [f"{client.habit}: {one.number:x} {one.answered - one.written:.2f} s" for client in world.clients
                       if client.reads_at_once() for one in client.done
                       if one.answered - one.written > world.timeout + late]

    def judge(self):
        own, still = self.lag.worst, self.still()
        self.judge_operators()
        self.wrong += [f"{ident}: {late:.2f} s late" for ident, late in self.late if late > LATE_S + own + still]
        self.wrong += [f"{request}: enrol ran twice" for request in self.servers.doubled]
        for when, name, request, limit in self.servers.seen:
            sent, timeout = self.asked.get(request, (None, 0))
            if sent is not None and when + limit > sent + timeout + LIMIT_SLACK_S + own:
                self.wrong.append(f"{request}: limit {limit} s with {sent + timeout - when:.3f} s left")
            if when > self.left.get(request, when) + LEFT_S + own:
                self.wrong.append(f"{request}: an attempt {when - self.left[request]:.2f} s after its client left")
            if name == "s-b" and when > self.servers.drained_at + OBEY_DRAIN_S + own:
                self.wrong.append(f"{request}: sent to a draining pop cache {when - self.servers.drained_at:.2f} s on")


def one_seed(program, library, seed):
    run = Run(program, library, seed)
    try:
        spare = run.play()
        told = (f"{run.counts}, left {spare:.2f} s before the kill, own lag {run.lag.worst:.2f} s; "
                f"{run.operators.calls} calls, {run.operators.drains} drains, the slowest {run.operators.slowest:.2f} s, "
                f"habits: {run.habits.world.told()}")
    except Failure as why:
        run.wrong.append(str(why))
        told = "broken off"
    finally:
        run.going = run.operators.going = False
        run.habits.stop()
        if run.wrong and os.environ.get("SOAK_LOG"):
            print(run.proxy.said()[-20000:])
        try:
            run.proxy.end()
        except Failure as why:
            run.wrong.append(str(why))
        run.servers.stop()
    return seed, str(run.plan), told, run.wrong


def main():
    program, library, first, last = sys.argv[1], sys.argv[2], int(sys.argv[3]), int(sys.argv[4])
    at_once = int(sys.argv[5]) if len(sys.argv) > 5 else 1
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(at_once) as pool:
        jobs = [pool.submit(one_seed, program, library, seed) for seed in range(first, last + 1)]
        for job in jobs:
            seed, plan, told, wrong = job.result()
            failed += bool(wrong)
            print(f"{'FAIL' if wrong else 'ok'} {plan}\n    {told}", flush=True)
            for line in wrong[:6]:
                print(f"    {line}", flush=True)
    print(f"{last - first + 1 - failed} passed, {failed} failed")
    sys.exit(failed > 0)


if __name__ == "__main__":
    main()
