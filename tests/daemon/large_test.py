#!/usr/bin/env python3
"""Large objects get their share: a real process before two pop caches whose links send at a stated pace, shared by all
that is under way, on a quiet day and beside a burst.

Of the tenth of requests with the largest objects, at least two thirds of the class's answered share is answered on the
quiet day and half of it in the burst; every request gets one answer, and the quiet day refuses next to nothing.
Usage: large_test.py SUMACKEEL
"""
import asyncio
import json
import math
import os
import random
import subprocess
import sys
import tempfile
import time

from wire import BOUND_S, alive_good, dispatch, listening, reply_of, reserved_port, settings_for

SEED = 20261202
PACE_KB_S, WIDTH = 9100, 4  # of one transfer; a link sends so many at full pace
LASTS_S, DEADLINE_MS = 6.0, 3000
MEAN_KB, SIGMA = 700, 1.0  # log-normal, as sizes are


class Link:
    """A pop cache that holds all. Transfers share its link alike; each ends when its KB have been sent."""

    def __init__(self):
        self.left, self.done = {}, {}
        self.at = time.monotonic()

    def pass_time(self):
        now = time.monotonic()
        if self.left:
            each = PACE_KB_S * min(1.0, WIDTH / len(self.left)) * (now - self.at)
            self.left = {name: kb - each for name, kb in self.left.items()}
        self.at = now
        for name in [name for name, kb in self.left.items() if kb <= 0]:
            del self.left[name]
            self.done.pop(name).set()

    async def run(self):
        while True:
            self.pass_time()
            await asyncio.sleep(0.004)

    async def serve(self, reader, writer):
        open_here = {}
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "STOP":
                    self.left.pop(words[1], None)
                    if task := open_here.pop(words[1], None):
                        task.cancel()
                if words[0] != "REQ":
                    continue
                await reader.readexactly(int(words[3]) + 2)
                open_here[words[1]] = asyncio.create_task(self.send(words[1], writer))
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):  # its end, or the test's
            pass
        for name, task in open_here.items():
            self.left.pop(name, None)
            task.cancel()
        writer.close()

    async def send(self, name, writer):
        self.pass_time()
        self.left[name], self.done[name] = SIZES[name], asyncio.Event()
        await self.done[name].wait()
        held = len(self.left)
        writer.write(f"{name} DONE digest=e1,dated=1764576000123,tell=local,meter=inflight:{held};x1:0.1 2\r\nok\r\n".encode())


SIZES = {}  # by request, in KB


async def day(port, load, rng):
    """Requests of one class at `load` times what the links send; (size, how it was answered) of each."""
    rate = load * 2 * WIDTH * PACE_KB_S / (MEAN_KB * math.exp(SIGMA * SIGMA / 2))
    plan, when = [], 0.0
    while when < LASTS_S:
        when += rng.expovariate(rate)
        plan.append((when, min(8 * MEAN_KB, MEAN_KB * math.exp(rng.gauss(0, SIGMA)))))
    # One connection carries 32 open requests at the most.
    lines = [await asyncio.open_connection("127.0.0.1", port) for _ in range(16)]
    counts, by_seqid, results = [0] * len(lines), {}, []

    async def listen(i):
        while True:
            seqid, place = await reply_of(lines[i][0])
            results[by_seqid[i, seqid]][1] = place

    listeners = [asyncio.create_task(listen(i)) for i in range(len(lines))]
    begun = time.monotonic()
    for n, (when, kb) in enumerate(plan):
        await asyncio.sleep(max(0.0, begun + when - time.monotonic()))
        name, i = f"{rng.getrandbits(64):016x}", n % len(lines)
        SIZES[name] = kb
        counts[i] += 1
        by_seqid[i, counts[i]] = n
        results.append([kb, None])
        lines[i][1].write(dispatch(counts[i], name.encode(), b"%016x" % rng.getrandbits(64),
                                   need=f"{kb:.1f}".encode()))
    end = time.monotonic() + DEADLINE_MS / 1000 + 1
    while any(place is None for _, place in results) and time.monotonic() < end:
        await asyncio.sleep(0.02)
    for one in listeners:
        one.cancel()
    for _, out in lines:
        out.close()
    return results


def shares(results):
    """Answered of all, of the tenth with the largest objects; how many have no answer."""
    largest = sorted(results, reverse=True, key=lambda result: result[0])[:max(1, len(results) // 10)]
    served = [sum(place == 0 for _, place in some) / len(some) for some in (results, largest)]
    return served[0], served[1], sum(place is None for _, place in results)


async def play(program, folder):
    links, addresses = {name: Link() for name in ("s-a", "s-b", "s-parent", "s-origin")}, {}
    for name, link in links.items():
        sock = listening()
        addresses[name] = f"127.0.0.1:{sock.getsockname()[1]}"
        await asyncio.start_server(link.serve, sock=sock)
        asyncio.create_task(link.run())
    reserved = reserved_port()
    port = reserved.getsockname()[1]
    settings = settings_for("n0", f"127.0.0.1:{port}", addresses.get)
    for host in settings["known"]["results"][0]["fleet"]["hosts"]:
        host["share"] = WIDTH
    config = os.path.join(folder, "config.json")
    with open(config, "w", encoding="utf-8") as out:
        json.dump(settings, out)
    proc = subprocess.Popen([program, "serve", "--config", config], stderr=subprocess.DEVNULL)
    try:
        end = time.monotonic() + BOUND_S
        while not await asyncio.to_thread(alive_good, port) and time.monotonic() < end:
            await asyncio.sleep(0.02)
        good = True
        for name, load, part in (("quiet", 0.4, 2 / 3), ("burst", 1.5, 1 / 2)):
            results = await day(port, load, random.Random(SEED))
            whole, largest, unanswered = shares(results)
            print(f"{name}: {len(results)} requests, {whole:.3f} answered, {largest:.3f} of the largest tenth, "
                  f"{unanswered} without an answer")
            good = good and largest >= part * whole and unanswered == 0 and (name != "quiet" or whole > 0.95)
        return good and proc.poll() is None
    finally:
        proc.kill()
        proc.wait()


def main():
    print(f"seed {SEED}")
    with tempfile.TemporaryDirectory(prefix="sumackeel-large-") as folder:
        good = asyncio.run(play(sys.argv[1], folder))
    print("1 passed, 0 failed" if good else "0 passed, 1 failed")
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
