"""Operators' calls that need a lease, and who is out by one."""
import random
import threading
import time

from .base import StepsBase
from ..failure import Failed
from ..network import LOOK_EVERY_S
from ..processes import NOT_KEPT
from wire import ops_call


class LeasesSteps(StepsBase):
    """Operators' calls that need a lease, and who is out by one."""

    def rollout(self, member):
        return member.told("/ops/rollout")

    def together(self, calls, yes, within=1.2):
        """Calls ["n0", "/ops/..."] at one instant through different proxies: so many of them are answered yes."""
        answers, gate = [None] * len(calls), threading.Barrier(len(calls))

        def call(place, who, path):
            member = self.fleet.pick(who)[0]
            gate.wait()
            began, body = time.monotonic(), []
            status = ops_call(member.ops_port, "POST", path, body, host=member.host)
            answers[place] = (status, body[0].strip() if body else "", time.monotonic() - began)
        threads = [threading.Thread(target=call, args=(place, *one)) for place, one in enumerate(calls)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        print(answers)
        if sum(1 for status, _, _ in answers if status == 200) != yes:
            raise Failed(f"together: {answers}, {yes} yes wanted")
        if any(took > within for _, _, took in answers):
            raise Failed(f"together: late: {answers}")

    def call(self, who, path, status, holds="", within=0):
        """One operator's call, again until `within` where it is not answered so at first, or not kept yet."""
        def holds_now():
            member, body = self.fleet.pick(who)[0], []
            got = ops_call(member.ops_port, "POST", path, body, host=member.host)
            said = body[0].strip() if body else ""
            return (got == status and holds in said and NOT_KEPT not in said) or f"{got} {said}"
        self.eventually(within, f"call {path}", holds_now)

    def leases(self, who, are, within, leader=None):
        """Each of `who` that runs knows exactly these members as out by lease."""
        def holds():
            for member in self.fleet.pick(who):
                if not member.running():
                    continue
                said = self.rollout(member)
                have = sorted(one["member"] for one in said["leases"]) if said else None
                if have != sorted(are) or (leader is not None and (said["leader"] == "") == leader):
                    return f"{member.name} knows {have}, leader '{said['leader'] if said else None}'"
            return True
        self.eventually(within, "leases", holds)

    def storm(self, seconds, most, least):
        """Callers, each with a pop cache of its own, take it out and back through any proxy, while members are stopped,
        killed, cut off and healed by chance. Judged from here alone: from a yes until the way back is asked for it
        is out, and no more than `most` are at any instant; at least `least` leaves were granted in all."""
        chance, end, lock = random.Random(self.fleet.seed), time.monotonic() + seconds, threading.Lock()
        spans = []

        def somebody():
            running = [member for member in self.fleet.all if member.running()]
            with lock:
                return chance.choice(running) if running else self.fleet.all[0]

        def ask(path):
            member = somebody()
            return ops_call(member.ops_port, "POST", path, host=member.host, bound=2)

        def caller(box):
            while time.monotonic() < end:
                if ask(f"/ops/pop-caches/down/{box}") == 200:
                    since = time.monotonic()
                    with lock:
                        hold = chance.uniform(0.1, 0.5)
                    time.sleep(hold)
                    spans.append((since, time.monotonic(), box))
                # Also after a no: without a majority it may have been granted all the same.
                while ask(f"/ops/pop-caches/up/{box}") != 200 and time.monotonic() < end + 20:
                    time.sleep(LOOK_EVERY_S)

        workers = [threading.Thread(target=caller, args=(box,)) for box in self.fleet.box_of]
        workers.append(threading.Thread(target=self.faults, args=(seconds, chance, lock)))
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()
        edges = sorted([(since, 1, box) for since, _, box in spans] + [(until, -1, box) for _, until, box in spans])
        out = highest = 0
        for _, step, _ in edges:
            out += step
            highest = max(highest, out)
        print(f"{len(spans)} leaves granted, {highest} out at most")
        if highest > most or len(spans) < least:
            raise Failed(f"storm: {highest} out at once, {len(spans)} granted")

    def many_calls(self, at, box, times):
        """So many leaves asked for and given back, one after another: that many entries of the log, twice."""
        member = self.fleet.pick(at)[0]
        for _ in range(times):
            for way in ("down", "up"):
                if ops_call(member.ops_port, "POST", f"/ops/pop-caches/{way}/{box}", host=member.host, bound=2) != 200:
                    raise Failed(f"{way} {box} at {at} was not granted")

    def quiet(self, box, after, seconds):
        """From `after` seconds on the pop cache is asked nothing for so long, by anybody."""
        time.sleep(after)
        before = self.fleet.box_of[box].served[0]
        time.sleep(seconds)
        asked = self.fleet.box_of[box].served[0] - before
        if asked:
            raise Failed(f"{box} was asked {asked} times")

    def asked(self, box, within):
        """The pop cache is asked again."""
        before = self.fleet.box_of[box].served[0]
        self.eventually(within, f"{box} asked", lambda: self.fleet.box_of[box].served[0] > before or "nothing")
