#!/usr/bin/env python3
"""Two or more real processes of one upgrade, on one inherited socket and one $TMPDIR, with concurrent admin API calls.

Guards against a lost call: for each pop cache and for the drain, the call that was answered last is in force in all
processes within 1 s, and in every later one. Usage: handover_crossings_test.py SUMACKEEL LIBRARY STORY [SEED [ROUNDS]]
"""
import os
import random
import signal
import sys
import threading
import time

from rig import Boxes, Proxy, Talking, listening, run_story, want

IN_FORCE_WITHIN_S = 1.0
READY_WITHIN_S = 20
KEPT_WITHIN_S = 10  # allows for a disk slowed down by parallel builds
POP_CACHES = ("s-a", "s-b", "s-parent", "s-origin")
SEED = int(sys.argv[4]) if len(sys.argv) > 4 else 1
ROUNDS = int(sys.argv[5]) if len(sys.argv) > 5 else 4


class Upgrade:
    """Processes started consecutively on one socket, and the state expected after the calls answered so far."""

    def __init__(self, program, library, operator="", folder=None):
        self.program, self.library, self.operator = program, library, operator
        self.boxes, self.socket, self.folder, self.all = Boxes(), listening(), folder, []
        self.down, self.draining = set(), False

    def begin(self, faults=""):
        proxy = Proxy(self.program, self.library, self.boxes.at, faults, under="sumackeel", folder=self.folder,
                      inherited=self.socket, operator=self.operator)
        self.folder = proxy.folder
        self.all.append(proxy)
        return proxy

    def start(self, faults=""):
        return self.ready(self.begin(faults))

    @staticmethod
    def ready(proxy):
        end = time.monotonic() + READY_WITHIN_S
        while proxy.call("/ops/stats", "GET")[0] != 200 or "gw_phase starting" in proxy.call("/ops/stats", "GET")[1]:
            want(time.monotonic() < end, f"not ready: {proxy.said()[-300:]}")
            time.sleep(0.01)
        return proxy

    def call(self, proxy, verb, ident):
        """Makes a call and waits for its reply; repeats it while the reply says that it isn't stored yet, which guarantees
        nothing."""
        self.kept(proxy, f"/ops/pop-caches/{verb}/{ident}")
        (self.down.add if verb == "down" else self.down.discard)(ident)

    def drain(self, proxy, verb):
        self.kept(proxy, f"/ops/drain/{verb}")
        self.draining = verb == "start"

    @staticmethod
    def kept(proxy, path):
        end = time.monotonic() + KEPT_WITHIN_S
        while True:
            status, said = proxy.call(path)
            want(status == 200, f"{path}: {status} {said!r}")
            if "not kept" not in said:
                return
            print(f"a slow disk: {path}: {said!r}")
            want(time.monotonic() < end, f"{path} is not kept")
            time.sleep(0.2)

    def in_force(self, proxies, what, within=IN_FORCE_WITHIN_S):
        end = time.monotonic() + within
        for proxy in proxies:
            while not self.holds(proxy):
                if time.monotonic() >= end:
                    want(False, f"{what}: process {self.all.index(proxy)} of {len(self.all)} has {self.counts(proxy)}, "
                         f"wanted {len(self.down)} down, draining {self.draining}")
                time.sleep(0.01)

    def counts(self, proxy):
        lines = dict(line.split() for line in proxy.call("/ops/stats", "GET")[1].splitlines())
        return int(lines["gw_pop_caches_down"]), lines["gw_phase"]

    def holds(self, proxy):
        return self.counts(proxy) == (len(self.down), "draining" if self.draining else "serving")

    def later_process_agrees(self, what):
        self.in_force([self.start()], what, within=0.0)

    def close(self):
        for proxy in self.all:
            if proxy.process.poll() is None:
                proxy.process.send_signal(signal.SIGCONT)
            if proxy.process.poll() != -signal.SIGKILL:  # killed by the scenario itself
                proxy.end(keep_folder=True)
        if self.folder:
            self.folder.cleanup()
        self.socket.close()


def play(program, library, story, rounds=1):
    for number in range(rounds):
        upgrade = Upgrade(program, library)
        try:
            story(upgrade, random.Random(SEED * 1000 + number))
        finally:
            upgrade.close()


def paused(program, library):
    """The old process is paused after its calls, or before them, while the new one is called."""
    def story(upgrade, chance):
        old = upgrade.start()
        upgrade.call(old, "down", "s-a")
        upgrade.call(old, "down", "s-b")
        new = upgrade.start()
        still, called = (old, new) if chance.random() < 0.5 else (new, old)
        upgrade.call(still, "up", "s-a")
        upgrade.call(still, "down", "s-parent")
        still.process.send_signal(signal.SIGSTOP)
        upgrade.call(called, "up", "s-b")
        upgrade.call(called, "down", "s-origin")
        if chance.random() < 0.5:
            upgrade.call(called, "up", "s-parent")
        time.sleep(1)
        still.process.send_signal(signal.SIGCONT)
        upgrade.in_force([old, new], "behind a pause")
        upgrade.later_process_agrees("the third process")
    play(program, library, story, ROUNDS)


def close_calls(program, library):
    """Calls to both processes 0 to 12 ms apart: concurrent for several pop caches, for one right after the previous reply."""
    def story(upgrade, chance):
        old = upgrade.start()
        new = upgrade.start()
        for _ in range(6):
            idents = list(POP_CACHES)
            chance.shuffle(idents)
            threads = []
            for proxy, ident in ((old, idents[0]), (new, idents[1]), (old, idents[2])):
                verb = "up" if ident in upgrade.down else "down"
                threads.append(threading.Thread(target=upgrade.call, args=(proxy, verb, ident)))
                threads[-1].start()
                time.sleep(chance.uniform(0, 0.012))
            for thread in threads:
                thread.join()
            first, second = (old, new) if chance.random() < 0.5 else (new, old)
            verbs = ("up", "down") if idents[3] in upgrade.down else ("down", "up")
            upgrade.call(first, verbs[0], idents[3])
            time.sleep(chance.uniform(0, 0.012))
            upgrade.call(second, verbs[1], idents[3])
            if chance.random() < 0.5:  # a repeated call is as binding as the first
                upgrade.call(first, verbs[1], idents[3])
            upgrade.in_force([old, new], "close calls")
        upgrade.later_process_agrees("the third process")
    play(program, library, story, ROUNDS)


def drain(program, library):
    """A drain started on either process applies to both, and ends with the last call."""
    def story(upgrade, chance):
        old = upgrade.start()
        new = upgrade.start()
        for _ in range(4):
            first, second = (old, new) if chance.random() < 0.5 else (new, old)
            upgrade.drain(first, "start")
            time.sleep(chance.uniform(0, 0.012))
            if chance.random() < 0.5:
                upgrade.drain(second, "stop")
            upgrade.in_force([old, new], "a drain")
            upgrade.drain(second, "stop")
        upgrade.drain(old, "start")
        upgrade.later_process_agrees("the third process")
    play(program, library, story, ROUNDS)


def killed_after_yes(program, library):
    """A call stays in force if the process that answered it is killed right after the reply, whichever process that is."""
    def story(upgrade, chance):
        old = upgrade.start()
        new = upgrade.start()
        upgrade.call(old, "down", "s-a")
        upgrade.call(new, "down", "s-b")
        upgrade.call(new, "up", "s-a")
        killed, left = (old, new) if chance.random() < 0.5 else (new, old)
        upgrade.call(killed, "down", "s-parent")
        killed.kill()
        upgrade.in_force([left], "behind a kill")
        upgrade.later_process_agrees("the third process")
        left.kill()
        upgrade.call(upgrade.all[2], "up", "s-parent")
        upgrade.all[2].kill()
        upgrade.later_process_agrees("the fourth process")
    play(program, library, story, ROUNDS)


def chain(program, library):
    """Five processes, each called while its successor is running and the one before last has ended."""
    def story(upgrade, chance):
        before = upgrade.start()
        upgrade.call(before, "down", "s-a")
        for ident in ("s-b", "s-parent", "s-a", "s-origin"):
            new = upgrade.start()
            upgrade.in_force([new], "a process of the chain", within=0.0)
            first, second = (before, new) if chance.random() < 0.5 else (new, before)
            upgrade.call(first, "up" if ident in upgrade.down else "down", ident)
            upgrade.call(second, "down", "s-b")
            upgrade.call(first, "up", "s-b")
            before.process.send_signal(signal.SIGTERM)
            upgrade.call(new, "up" if ident in upgrade.down else "down", ident)
            before.process.wait(10)
            upgrade.in_force([new], "behind the end of the one before")
            before = new
    play(program, library, story, ROUNDS)


def slow_disk(program, library):
    """On a disk that takes 0.1 s for each sync and rename, calls that were reported as stored are in force."""
    def story(upgrade, chance):
        faults = "fsync=WAIT0.06/1 rename=WAIT0.04/1"
        old = upgrade.start(faults)
        new = upgrade.start(faults)
        for ident in POP_CACHES * 2:
            proxy = old if chance.random() < 0.5 else new
            upgrade.call(proxy, "up" if ident in upgrade.down else "down", ident)
        upgrade.in_force([old, new], "a slow disk")
        upgrade.later_process_agrees("the third process")
    play(program, library, story, 1)


def recovery_folder(program, library):
    """The state a new process read from the recovery directory at startup doesn't undo a later call to the old process."""
    talking = Talking()
    upgrade = Upgrade(program, library, talking.operator, talking.folder)
    try:
        old = upgrade.start()
        upgrade.call(old, "down", "s-a")
        upgrade.call(old, "down", "s-b")
        new = upgrade.begin()
        while "gw_phase starting" not in new.call("/ops/stats", "GET")[1]:
            time.sleep(0.01)
        upgrade.call(old, "up", "s-a")
        upgrade.in_force([upgrade.ready(new)], "the new process")
        old.kill()
        new.kill()
        upgrade.later_process_agrees("the third process")
    finally:
        upgrade.close()


def soak(program, library):
    """Consecutive calls to randomly chosen processes of a chain, with pauses, kills and shutdowns between them."""
    def story(upgrade, chance):
        running = [upgrade.start()]
        for _ in range(25):
            event = chance.random()
            if event < 0.15 and len(running) < 3:
                running.append(upgrade.start())
                upgrade.in_force([running[-1]], "a new process", within=0.0)
            elif event < 0.25 and len(running) > 1:
                gone = running.pop(chance.randrange(len(running)))
                gone.process.send_signal(chance.choice((signal.SIGKILL, signal.SIGTERM)))
                gone.process.wait(10)
            elif event < 0.4 and len(running) > 1:
                still = chance.choice(running)
                still.process.send_signal(signal.SIGSTOP)
                others = [one for one in running if one is not still]
                for _ in range(chance.randrange(1, 4)):
                    one = chance.choice(POP_CACHES)
                    upgrade.call(chance.choice(others), "up" if one in upgrade.down else "down", one)
                time.sleep(chance.uniform(0, 0.5))
                still.process.send_signal(signal.SIGCONT)
                upgrade.in_force(running, "behind a pause")
            elif event < 0.5:
                upgrade.drain(chance.choice(running), "stop" if upgrade.draining else "start")
            else:
                one = chance.choice(POP_CACHES)
                upgrade.call(chance.choice(running), chance.choice(("up", "down")), one)
            if chance.random() < 0.2:
                upgrade.in_force(running, "the soak")
        upgrade.in_force(running, "the soak's end")
        upgrade.later_process_agrees("the last process")
    for number in range(ROUNDS):
        upgrade = Upgrade(program, library)
        print(f"seed {SEED + number}", flush=True)
        try:
            story(upgrade, random.Random(SEED + number))
        finally:
            upgrade.close()


if __name__ == "__main__":
    run_story({story.__name__: story for story in (paused, close_calls, drain, killed_after_yes, chain, slow_disk,
                                                   recovery_folder, soak)})
