#!/usr/bin/env python3
"""A seeded soak of a real process's memory: crowds, reloads, drains, and SIGTERM or a replacement in the middle.

Each seed draws memory_mb, descriptors, how pop caches treat crowds, and two series of crowds; usual clients send meanwhile.
In some runs operators make drains and reloads, in some the process is replaced on its listening socket. At the end SIGTERM
comes three times; clients keep using open connections until the earliest SIGKILL. In each run the peak of the process, or of
both processes together, is under PEAK_SHARE of memory_mb, none ends by itself, and no usual client loses a request.
Usage: memory_soak.py SUMACKEEL LIBRARY FIRST LAST [AT_ONCE]; SUMACKEEL is built without sanitizers.
"""
import asyncio
import concurrent.futures
import random
import signal
import sys
import threading
import time

from crowd_clients import HABITS
from memory_test import PEAK_SHARE, Caches, UsualClient, crowd, memory_mb
from rig import FAILED, Failure, Proxy, want
from wire import listening

LONGEST_DEADLINE_S, KILL_AFTER_S, SIGTERMS, SAMPLE_S, CROWD_S = 3.0, 0.7, 3, 0.01, 2.5


class Plan:
    """The parameters drawn from one seed."""

    def __init__(self, seed):
        draw = random.Random(seed)
        self.seed = seed
        self.limit = draw.choice([32, 48, 64, 96])
        self.sockets = draw.choice([512, 1024])
        self.caches = draw.choice(["answer", "answer", "hang", "half", "broke", "close"])
        self.clients = draw.choice([self.sockets // 3, self.sockets // 2 - 20])
        self.series = [draw.sample(sorted(HABITS), draw.randint(1, 4)) for _ in range(2)]
        self.calls = draw.sample(["reload", "drain"], draw.randint(0, 2))
        self.replaced = draw.random() < 0.25

    def __str__(self):
        return (f"seed {self.seed}: {self.limit} MB, {self.sockets} sockets, caches {self.caches}, {self.clients} clients, "
                f"{self.series}, {self.calls}, replaced {self.replaced}")


class Watch(threading.Thread):
    """The most memory that the processes had at one time, in MB, by their resident pages; one alone by its own peak."""

    def __init__(self, proxies):
        super().__init__(daemon=True)
        self.proxies, self.going, self.together = proxies, True, 0.0

    def run(self):
        while self.going:
            self.together = max(self.together, sum(self.resident(proxy) for proxy in list(self.proxies)))
            time.sleep(SAMPLE_S)

    @staticmethod
    def resident(proxy):
        try:
            return memory_mb(proxy, "VmRSS")
        except (OSError, StopIteration):  # it has ended
            return 0.0

    def peak(self):
        alone = [memory_mb(proxy, "VmHWM") for proxy in self.proxies if proxy.process.poll() is None]
        return max([self.together, *alone])


class Run:
    def __init__(self, program, library, plan):
        self.program, self.library, self.plan = program, library, plan
        self.caches, self.listener = Caches(plan.caches), listening() if plan.replaced else None
        self.proxies = [self.start()]
        self.watch = Watch(self.proxies)

    def start(self, folder=None):
        limits = {"cores": 1.0, "memory_mb": self.plan.limit, "sockets": self.plan.sockets}
        return Proxy(self.program, self.library, self.caches.at, inherited=self.listener, folder=folder,
                     change=lambda settings: settings.update(limits=limits))

    def call(self, name):
        proxy = self.proxies[-1]
        if name == "reload":
            proxy.process.send_signal(signal.SIGHUP)
        else:
            proxy.call("/ops/drain/start")
            time.sleep(0.5)
            proxy.call("/ops/drain/stop")

    def replace(self):
        old = self.proxies[-1]
        self.proxies.append(self.start(folder=old.folder))
        self.proxies[-1].ready(30)
        self.terminate(old)

    @staticmethod
    def terminate(proxy):
        """SIGTERM in series, and SIGKILL at the earliest; the process has to end by itself."""
        kill_at = time.monotonic() + LONGEST_DEADLINE_S + KILL_AFTER_S
        for _ in range(SIGTERMS):
            proxy.process.send_signal(signal.SIGTERM)
            time.sleep(0.1)
        while proxy.process.poll() is None and time.monotonic() < kill_at:
            time.sleep(0.01)
        want(proxy.process.poll() == 0, f"ended with {proxy.process.poll()} after SIGTERM")

    async def play_series(self, habits, middle):
        crowds = [crowd(self.proxies[-1].port, habit, self.plan.clients // len(habits), CROWD_S) for habit in habits]
        await asyncio.sleep(CROWD_S / 2)
        for action in middle:
            await asyncio.to_thread(action)
        for process in crowds:
            await asyncio.to_thread(process.communicate)

    async def play(self):
        plan, usual = self.plan, UsualClient(self.proxies[-1].port)
        running = asyncio.ensure_future(usual.run())
        await self.play_series(plan.series[0], [lambda name=name: self.call(name) for name in plan.calls])
        await self.play_series(plan.series[1], [self.replace] if plan.replaced else [])
        usual.going = False
        await running
        peak = self.watch.peak()
        want(all(proxy.process.poll() in (None, 0) for proxy in self.proxies), "a process has ended by itself")
        ending = asyncio.ensure_future(self.play_series(plan.series[0], []))
        await asyncio.to_thread(self.terminate, self.proxies[-1])
        await ending
        peak = max(peak, self.watch.together)
        print(f"{plan}: peak {peak:.1f} MB; {usual.told()}", flush=True)
        want(peak < PEAK_SHARE * plan.limit, f"the peak is {peak:.1f} MB of {plan.limit}")
        want(not usual.lost, f"lost: {usual.lost[:3]}")
        want(not usual.count(FAILED) or plan.caches != "answer", "usual clients' requests failed")

    def run(self):
        try:
            self.proxies[0].ready(30)
            self.watch.start()
            asyncio.run(self.play())
        finally:
            self.watch.going = False
            self.caches.end()
            for proxy in reversed(self.proxies):
                proxy.end(keep_folder=proxy is not self.proxies[0])


def soak(program, library, seed):
    plan = Plan(seed)
    try:
        Run(program, library, plan).run()
        return True
    except Failure as why:
        print(f"FAIL: {plan}: {why}", flush=True)
        return False


def main():
    program, library, first, last = sys.argv[1], sys.argv[2], int(sys.argv[3]), int(sys.argv[4])
    at_once = int(sys.argv[5]) if len(sys.argv) > 5 else 1
    with concurrent.futures.ThreadPoolExecutor(at_once) as pool:
        held = list(pool.map(lambda seed: soak(program, library, seed), range(first, last + 1)))
    print(f"{sum(held)} passed, {len(held) - sum(held)} failed")
    sys.exit(0 if all(held) else 1)


if __name__ == "__main__":
    main()
