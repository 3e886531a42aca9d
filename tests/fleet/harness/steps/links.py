"""Faults of the links between processes."""
import random
import time

from .base import StepsBase

COUNTED_WITHIN_S = 5


class LinksSteps(StepsBase):
    """Faults of the links between processes."""

    def lose(self, share, a="all", b="all"):
        for link in self.fleet.links(a, b):
            link.loss = share

    def delay(self, seconds, jitter=0.0, a="all", b="all"):
        for link in self.fleet.links(a, b):
            link.delay, link.jitter = seconds, jitter

    def twice(self, share):
        for link in self.fleet.links("all", "all"):
            link.twice = share

    def cut(self, a, b, both=False):
        for link in self.fleet.links(a, b) + (self.fleet.links(b, a) if both else []):
            link.cut = True

    def heal(self):
        for link in self.fleet.links("all", "all"):
            link.cut, link.loss, link.delay, link.jitter, link.twice = False, 0.0, 0.0, 0.0, 0.0

    def keep(self, on=True):
        self.fleet.relay.keep = on

    def play_again(self, a, b):
        for one in self.fleet.pick(a):
            for other in self.fleet.pick(b):
                if one is not other:
                    self.fleet.relay.play_again((one.index, other.index))

    def inject(self, to, length, count=20):
        """Bytes that are no datagram of the group's, at the length given, the same at each run of a seed. Each is sent once
        the one before was counted: a socket holds few long ones at once, and the kernel drops the rest."""
        target = self.fleet.pick(to)[0]

        def counted():
            return sum(count for name, count in target.group()["counters"].items() if name.startswith("bad_"))

        source = next(member for member in self.fleet.all if member is not target)
        noise = random.Random(f"{self.fleet.seed} {length}")
        for number in range(count):
            data = noise.randbytes(length)
            before = counted()
            self.fleet.relay.inject((source.index, target.index), data if number % 2 else b"SG\x01\x01" + data)
            self.eventually(COUNTED_WITHIN_S, f"{target.name} counts what was injected", lambda: counted() > before)

    def during(self, seconds):
        """How long the fault of the steps before lasts."""
        time.sleep(seconds)
