"""Purges, and copies that were served in spite of them, judged by what the stand-in caches gave out."""
import random
import threading
import time
from dataclasses import dataclass

from .base import StepsBase
from ..failure import Failed
from wire import ops_call

# "300 ms after any of them learned of the purge", and "every time limit is 50 ms longer"
OBEYED_WITHIN_S = 0.300 + 0.050
GROUP = 17  # of all objects that clients ask for


@dataclass(frozen=True)
class AcknowledgedPurge:
    called_at: float
    acknowledged_at: float
    object_id: str | None  # None: the whole group

    def forbids(self, served_at, item, dated):
        matches = self.object_id is None or self.object_id == item
        return matches and served_at > self.acknowledged_at + OBEYED_WITHIN_S and dated < self.called_at


class PurgeSteps(StepsBase):
    """Purges, and copies that were served in spite of them."""

    def __init__(self, fleet):
        super().__init__(fleet)
        self.purges = []
        self.companion = None  # cut off together with "led"
        self.unconfirmed_marked = {}  # attempts by member, at the mark

    def record_purge(self, called_at, acknowledged_at, object_id):
        self.purges.append(AcknowledgedPurge(called_at, acknowledged_at, object_id))

    def purge_by_others(self, within=5):
        """The whole group is purged through another member than "led" and those cut off with it."""
        others = [member for member in self.fleet.all if member not in (self.fleet.led, self.companion)]
        before = len(self.purges)

        def holds():
            for member in others:
                if len(self.purges) == before:
                    self.purge_group(member)
            return len(self.purges) > before or "not acknowledged"
        self.eventually(within, "purge", holds)

    def cut_off_leader_with_one(self):
        """Whoever leads and one more voter reach each other and nobody else; only the latter has clients."""
        self.fault_leader("clients")
        self.companion = next(member for member in self.fleet.all if member is not self.fleet.led)
        self.clients(self.companion.index)
        for other in self.fleet.all:
            if other not in (self.fleet.led, self.companion):
                self.cut(self.fleet.led.index, other.index, both=True)
                self.cut(self.companion.index, other.index, both=True)

    def restart_companion(self):
        """Not waited for: without a majority it may not become ready."""
        self.kill(self.companion.index)
        self.companion.start()

    def purge_group(self, member):
        self.call_purge(member, f"/ops/purge/group/{GROUP}", None)

    def purge_told_to(self, only):
        """The whole group is purged, and the change log of one member alone tells it: it learns of it at the latest when
        it first asks for a copy that is not older."""
        member = self.fleet.pick(only)[0]
        self.purge(member.index)
        self.record_purge(self.purged_at, time.time(), None)

    def call_purge(self, member, path, object_id):
        called_at = time.time()
        if ops_call(member.ops_port, "POST", path, host=member.host, bound=2) == 200:
            self.record_purge(called_at, time.time(), object_id)

    def age_of_get(self, who, least=0.0, most=float("inf")):
        """How old `get` says at `who` that its state is, in seconds; absent: never confirmed."""
        for member in self.fleet.pick(who):
            said = self.words(member, get="fleet/x") or {}
            print(f"{member.name}: {said}")
            if not least <= said.get("age_s", float("inf")) <= most:
                raise Failed(f"{member.name}: age_s {said.get('age_s')}, {least} to {most} wanted")

    def no_purged_copy(self, least=1):
        """No copy older than a purge was served once the purge had to be obeyed; at least so many were served then."""
        with self.fleet.copies.lock:
            served = list(self.fleet.copies.served)
        judged = [one for one in served if any(one[0] > purge.acknowledged_at + OBEYED_WITHIN_S for purge in self.purges)]
        bad = [one for one in judged if any(purge.forbids(*one[:3]) for purge in self.purges)]
        print(f"{len(self.purges)} purges, {len(judged)} copies served after one of them, {len(bad)} purged")
        for at, item, dated, request in bad[:20]:
            purge = next(purge for purge in self.purges if purge.forbids(at, item, dated))
            print(f"request {request} of n{int(request[1:4], 16)} at {at:.3f}: object {item} dated {dated:.3f}, purge called "
                  f"at {purge.called_at:.3f}, acknowledged at {purge.acknowledged_at:.3f}")
        if bad:
            raise Failed(f"{len(bad)} purged copies were served")
        if len(judged) < least:
            raise Failed(f"only {len(judged)} copies were served")

    def no_purged_copy_for(self, seconds, least=1):
        time.sleep(seconds)
        self.no_purged_copy(least)

    def purge_storm(self, seconds, least):
        """Purges through any member while members and links fail by chance; at least so many are acknowledged."""
        end, chance = time.monotonic() + seconds, random.Random(self.fleet.seed)
        faults = threading.Thread(target=self.disturb, args=(end, random.Random(self.fleet.seed + 1)))
        faults.start()
        while time.monotonic() < end:
            running = [member for member in self.fleet.all if member.running()]
            if running:
                self.try_purge(chance.choice(running), chance)
            time.sleep(chance.uniform(0.1, 0.8))
        faults.join()
        self.heal()
        print(f"{len(self.purges)} purges acknowledged")
        if len(self.purges) < least:
            raise Failed(f"only {len(self.purges)} purges were acknowledged")

    def try_purge(self, member, chance):
        if chance.random() < 0.5:
            return self.purge_group(member)
        object_id = self.fleet.object_of(chance.choice(self.fleet.all), chance.randrange(self.fleet.objects))
        return self.call_purge(member, f"/ops/purge/object/{GROUP}/{object_id}", object_id)

    def disturb(self, end, chance):
        """One member after another is stopped and continued, killed and started, cut off both ways or one, or hears and is
        heard late or in part."""
        while time.monotonic() < end:
            member = chance.choice(self.fleet.all)
            what = chance.choice(["stop", "kill", "cut", "cut out", "cut in", "late", "lossy"])
            last = chance.uniform(0.3, 2.5)
            print(f"{what} {member.name} for {last:.2f} s", flush=True)
            if what in ("stop", "kill"):
                self.interrupt(member, what, last if what == "stop" else last / 4)
            else:
                self.disturb_links(member.index, what, chance)
                time.sleep(last)
                self.heal()
            time.sleep(chance.uniform(0.1, 1.0))

    def disturb_links(self, index, what, chance):
        if what == "late":
            delay = chance.uniform(0.02, 0.5)
            self.delay(delay, delay / 2, index, "all")
            self.delay(delay, delay / 2, "all", index)
        elif what == "lossy":
            self.lose(0.5, index, "all")
            self.lose(0.5, "all", index)
        elif what == "cut in":
            self.cut("all", index)
        else:
            self.cut(index, "all", both=what == "cut")

    def unconfirmed_attempts(self, most):
        """So many attempts were sent at the most with the limit for purges that may have been missed, since the mark."""
        counted = {member.name: self.count_unconfirmed(member) for member in self.fleet.all}
        found = {name: count - self.unconfirmed_marked.get(name, 0) for name, count in counted.items()}
        print(f"attempts by unconfirmed purges: {found}")
        if sum(found.values()) > most:
            raise Failed(f"attempts by unconfirmed purges: {found}")

    def mark_unconfirmed_attempts(self):
        self.unconfirmed_marked = {member.name: self.count_unconfirmed(member) for member in self.fleet.all}

    @staticmethod
    def count_unconfirmed(member):
        body = []
        if ops_call(member.ops_port, "GET", "/ops/stats", body, host=member.host, bound=2) != 200:
            raise Failed(f"{member.name} does not answer")
        name = "gw_attempts_purges_unconfirmed "
        return next(int(float(line[len(name):])) for line in body[0].splitlines() if line.startswith(name))
