"""What the soak plays beside its own clients: operators who call in series, and clients of unlike habits."""
import asyncio
import socket
import threading
import time

from habits import COME_AFTER_NO_S, Client, Odd, SlowReader, World, held

CALL_WITHIN_S, HELD_AFTER_S, BAN_OBEYED_S = 1.0, 4.0, 2.05
TALK_S = 0.12  # between two calls


class Habits(threading.Thread):
    """Some clients of all habits, on a loop of their own; `held_at` and `told` are asked from other threads."""

    def __init__(self, port, draw, timeout):
        super().__init__(daemon=True)
        self.port, self.draw, self.timeout = port, draw, timeout
        self.loop, self.up, self.world = asyncio.new_event_loop(), threading.Event(), None

    def run(self):
        self.loop.run_until_complete(self.play())

    async def play(self):
        self.world = world = World(self.port, timeout=self.timeout)
        rate = self.draw.uniform(0.005, 0.05)
        clients = [Client(world, "one at a time, at once again"), Client(world, "thinking", pause=0.4),
                   Client(world, "overlapping", every=rate), Client(world, "4 open", most_open=4),
                   Client(world, "31 open", most_open=31), Client(world, "cancelling", most_open=3, cancels=True),
                   Client(world, "a pause after a refusal", most_open=6, retry_pause=0.1),
                   Client(world, "three in the mean", every=lambda: world.draw.expovariate(1 / rate)),
                   Client(world, "floods", most_open=10_000, every=0.004), SlowReader(world, "slow to read", most_open=3),
                   Odd(world, "silent"), Odd(world, "half a request"), Odd(world, "dribbling")]
        tasks = world.add(*self.draw.sample(clients, 5))
        self.up.set()
        while world.going:
            await asyncio.sleep(0.02)
        for task in tasks + [world.watching]:
            task.cancel()
        await asyncio.gather(*tasks, world.watching, return_exceptions=True)

    def asked(self, what):
        """`what` of the world, called on its loop."""
        async def call():
            return what(self.world)
        return asyncio.run_coroutine_threadsafe(call(), self.loop).result(10)

    def stop(self):
        if self.world:
            self.world.going = False
        self.join(10)


class Operators(threading.Thread):
    """Drains, bans and questions one after another until `stop`. `wrong` says what did not hold."""

    def __init__(self, run, habits, draw):
        super().__init__(daemon=True)
        self.run_, self.habits, self.draw, self.going = run, habits, draw, True
        self.silent = draw.choice([0, 0, 20, 150])
        self.calls, self.drains, self.slowest, self.wrong, self.bans = 0, 0, 0.0, [], []

    def stop(self):
        """As SIGTERM comes: no call is begun any more."""
        self.going = False

    def call(self, path, method="POST"):
        """The status; 0 where the process has been told to end meanwhile."""
        callers = []
        try:
            callers += [socket.create_connection(("127.0.0.1", self.run_.proxy.ops), timeout=10) for _ in range(self.silent)]
        except OSError:
            pass
        began = time.monotonic()
        status = self.run_.proxy.call(path, method)[0]
        took = time.monotonic() - began
        for caller in callers:
            caller.close()
        if not self.going:
            return 0
        self.calls += 1
        self.slowest = max(self.slowest, took)
        if took > CALL_WITHIN_S + self.run_.still() + self.run_.lag.worst:
            self.wrong.append(f"{path} took {took:.2f} s behind {self.silent} silent callers")
        return status

    def wait(self, until):
        while self.going and time.monotonic() < until:
            time.sleep(0.02)

    def run(self):
        try:
            while self.going:
                self.draw.choice([self.drain, self.drain, self.ban, self.ask])()
                self.wait(time.monotonic() + TALK_S)
        except Exception as why:  # a fault of this program is to be seen
            self.wrong.append(f"operators: {why!r}")

    def ask(self):
        if self.call("/ops/readiness", "GET") not in (0, 200):
            self.wrong.append("not ready")
        if self.call("/ops/stats", "GET") not in (0, 200):
            self.wrong.append("no stats")

    def ban(self):
        if self.call("/ops/pop-caches/down/s-c") not in (0, 200):
            self.wrong.append("no ban")
        began = time.monotonic()
        self.wait(began + self.draw.uniform(0.1, 3))
        lasted = time.monotonic()
        self.bans.append((began + BAN_OBEYED_S, lasted))
        if self.call("/ops/pop-caches/up/s-c") not in (0, 200):
            self.wrong.append("a ban was not taken back")

    def drain(self):
        """One that lasts, or is stopped at any moment of it."""
        if self.call("/ops/drain/start") != 200:
            return
        told_at = time.monotonic()
        self.drains += 1
        world = self.habits.world
        no_by = told_at + 0.1 + COME_AFTER_NO_S
        lasts = self.draw.choice([self.draw.uniform(0, 4), HELD_AFTER_S + 0.3])
        self.wait(min(no_by, told_at + lasts))
        world.may_connect = False
        self.wait(told_at + min(lasts, HELD_AFTER_S + self.run_.lag.worst))
        if self.going and lasts > HELD_AFTER_S:
            now = time.monotonic()
            found = self.habits.asked(lambda one: held(one, told_at, now))
            if found:
                self.wrong.append(f"held {now - told_at:.2f} s after the yes: {found}")
        if not self.going:
            return
        if self.call("/ops/drain/stop") not in (0, 200):
            self.wrong.append("the drain did not end")
        world.may_connect = self.going
        ended = time.monotonic()
        while self.going and self.call("/ops/readiness", "GET") not in (0, 200):
            if time.monotonic() > ended + 2 + self.run_.lag.worst:
                self.wrong.append("no yes 2 s after the drain's end")
                return
            time.sleep(0.05)
