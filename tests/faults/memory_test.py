#!/usr/bin/env python3
"""A real process keeps to `limits.memory_mb` beside crowds that take up memory, serves its usual clients meanwhile, and gives
the memory back. Guards against a process that is killed for its memory.

Usage: memory_test.py SUMACKEEL LIBRARY STORY [MEMORY_MB]; SUMACKEEL is built without sanitizers, which need memory of their own.
"""
import asyncio
import os
import subprocess
import sys
import time

from habits import connect
from rig import FAILED, REFUSED, SERVED, Proxy, run_story, want
from wire import BOUND_S, dispatch, reply_of

CROWD_CLIENTS, CROWD_S, SOCKETS = 500, 4.0, 1024
PEAK_SHARE = 0.9  # of memory_mb
LEFT_MB, LEFT_WITHIN_S = 16, 5.0  # behind the last client's leaving
USUAL_EVERY_S, USUAL_ANSWER_S = 0.03, 0.1


def beside(script):
    return os.path.join(os.path.dirname(os.path.abspath(__file__)), script)


class Caches:
    """Pop caches in a process of their own, so that usual clients are timed without them."""

    def __init__(self, habit):
        self.process = subprocess.Popen([sys.executable, beside("crowd_caches.py"), habit], stdout=subprocess.PIPE, text=True)
        self.at = self.process.stdout.readline().strip()

    def end(self):
        self.process.kill()
        self.process.communicate()


def memory_mb(proxy, name):
    with open(f"/proc/{proxy.process.pid}/status", encoding="utf-8") as status:
        return next(int(line.split()[1]) for line in status if line.startswith(name + ":")) / 1024


class UsualClient:
    """Sends a request each USUAL_EVERY_S, each on a new connection, and records (place, seconds) of each answer."""

    def __init__(self, port):
        self.port, self.going, self.answers, self.lost, self.number = port, True, [], [], 0

    async def run(self):
        while self.going:
            self.number += 1
            began = time.monotonic()
            try:
                conn = await asyncio.wait_for(connect(self.port), BOUND_S)
                conn.writer.write(dispatch(1, b"%016x" % (0x5a0000000000 + self.number), b"%016x" % (self.number % 40)))
                place = (await asyncio.wait_for(reply_of(conn.reader), BOUND_S))[1]
                self.answers.append((place, time.monotonic() - began))
                conn.writer.close()
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as why:
                self.lost.append(repr(why))
            await asyncio.sleep(USUAL_EVERY_S)

    def count(self, place):
        return sum(1 for got, _ in self.answers if got == place)

    def told(self):
        slowest = max((took for _, took in self.answers), default=0)
        return (f"usual: {self.count(SERVED)} served, {self.count(REFUSED)} refused, {self.count(FAILED)} failed, "
                f"{len(self.lost)} lost, slowest {slowest:.3f} s")


def crowd(port, habit, clients=CROWD_CLIENTS, seconds=CROWD_S):
    command = [sys.executable, beside("crowd_clients.py"), str(port), str(clients), str(seconds), habit]
    return subprocess.Popen(command, stdout=subprocess.PIPE)


async def beside_crowds(proxy, habits):
    """One crowd of each habit, all at once; then the same again."""
    usual = UsualClient(proxy.port)
    running = asyncio.ensure_future(usual.run())
    for _ in range(2):
        crowds = [crowd(proxy.port, habit, CROWD_CLIENTS // len(habits)) for habit in habits]
        for process in crowds:
            await asyncio.to_thread(process.communicate)
    usual.going = False
    await running
    return usual


def memory_story(caches_habit, *habits, served=True):
    """`served`: the usual clients' pop caches answer."""
    def play(program, library):
        limit = int(sys.argv[4]) if len(sys.argv) > 4 else 48
        caches = Caches(caches_habit)
        proxy = Proxy(program, library, caches.at, change=lambda settings: settings.update(
            limits={"cores": 1.0, "memory_mb": limit, "sockets": SOCKETS}))
        try:
            proxy.ready()
            usual = asyncio.run(beside_crowds(proxy, habits))
            time.sleep(LEFT_WITHIN_S)
            want(proxy.process.poll() is None, f"the process has ended: {proxy.said()[-500:]}")
            peak, left = memory_mb(proxy, "VmHWM"), memory_mb(proxy, "VmRSS")
            print(f"peak {peak:.1f} MB of {limit}, left {left:.1f} MB, cpu {proxy.cpu_seconds():.2f} s; {usual.told()}")
            want(peak < PEAK_SHARE * limit, f"the peak is {peak:.1f} MB of {limit}")
            want(left < LEFT_MB, f"{left:.1f} MB stay {LEFT_WITHIN_S:.0f} s behind the last client's leaving")
            want(not usual.lost, f"lost: {usual.lost[:3]}")
            if served:
                want(not usual.count(FAILED), "usual clients' requests failed")
                late = [took for place, took in usual.answers if place == SERVED and took > USUAL_ANSWER_S]
                want(usual.count(SERVED) > len(usual.answers) // 2, "usual clients were refused")
                print(f"{len(late)} of {len(usual.answers)} answers took over {USUAL_ANSWER_S} s")
        finally:
            caches.end()
            proxy.end()
    return play


STORIES = {
    "unanswered_writes": memory_story("hang", "writes"),
    "deaf_pop_caches": memory_story("deaf", "writes", served=False),
    "unread_reads": memory_story("answer", "unread"),
    "unanswered_mixture": memory_story("hang", "writes_and_reads"),
    "half_responses": memory_story("half", "reads"),
    "half_requests": memory_story("answer", "half"),
    "half_requests_in_pieces": memory_story("answer", "pieces"),
    "clients_gone": memory_story("answer", "gone"),
    "broken_pop_caches": memory_story("broke", "some_writes"),
    "closing_pop_caches": memory_story("close", "some_writes"),
    "heads_of_fields": memory_story("answer", "fields"),
    "mixture": memory_story("answer", "half", "unread", "pieces", "some_writes"),
}


if __name__ == "__main__":
    run_story(STORIES)
