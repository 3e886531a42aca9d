"""Releases in waves, with an installer for each member."""
import json
import os
import signal
import subprocess
import threading
import time

from .base import StepsBase
from ..failure import Failed
from ..network import LOOK_EVERY_S
from ..membership_view import states


class ReleasesSteps(StepsBase):
    """Releases in waves, with an installer for each member."""

    def plan_file(self, plan):
        path = os.path.join(self.fleet.folder, "plan.toml")
        with open(path, "w", encoding="utf-8") as out:
            for key, value in {"name": "spring", "from": "1", "to": "2", "in_time_ms": 128, "least_requests": 15,
                               "soak_s": 3, "patience_s": 20, **plan}.items():
                out.write(f"{key} = {json.dumps(value)}\n")
        return path

    def plan(self, at, status=0, holds="", **plan):
        """Starts a release by a plan of these keys, through `at`."""
        self.command(at, ["release", "start", self.plan_file(plan)], status, holds)

    def rehearse(self, at, holds, status=0, **plan):
        """The same plan played through with the fleet as `at` sees it, before anyone is touched."""
        self.command(at, ["rollout", "simulate", self.plan_file(plan), "--change-s", "3"], status, holds)

    def turn(self, member):
        """What the installer of `member` is told: "... to run VERSION", or None while it has no turn."""
        others = [one for one in self.fleet.all if one.running()] or [member]
        asked = member if member.running() else others[0]
        done = subprocess.run([self.fleet.program, "release", "wait", "--member", member.name, "--timeout", "1",
                               "--at", f"{asked.host}:{asked.ops_port}"], text=True, capture_output=True, timeout=30,
                              check=False)
        return done.stdout.strip() if done.returncode == 0 else None

    def installers(self, who="all", slow=(), dead=(), wrong=()):
        """An installer's script for each member, beside the steps that follow: waits for its turn, ends the process and
        starts what it is told to run. Members in `slow` answer late under 2, those in `dead` are not started again
        while under 2, those in `wrong` are started with 1 the first time. From a yes until it is ready a member is out;
        the most that were at an instant is kept."""
        lock, out = threading.Lock(), set()
        self.most_out, self.installing = 0, True

        def change(member, said, wrongly):
            """Ends it and starts what it is to run; false: it stays away."""
            version = said.split(", to run ")[1]
            print(f"{member.name}: {said}")
            member.faults, member.faulted = member.faults + 1, True
            if member.process.poll() is None:
                member.process.send_signal(signal.SIGTERM)
            member.process.wait()
            if version == "2" and member.name in dead:
                return False
            member.slow = version == "2" and member.name in slow
            member.start(version="1" if wrongly else version)
            member.ready()
            return True

        def install(member):
            wrongly = member.name in wrong
            while self.installing:
                if not self.turn(member):
                    time.sleep(LOOK_EVERY_S)
                    continue
                # Asked again once nobody else ends it: a turn is over when its holder has started anew.
                with member.taken:
                    said = self.turn(member)
                    if not said:
                        continue
                    with lock:
                        out.add(member.name)
                        self.most_out = max(self.most_out, len(out))
                    if not change(member, said, wrongly):
                        return
                    wrongly = False
                    with lock:
                        out.discard(member.name)
        self.workers = [threading.Thread(target=install, args=(one,), daemon=True) for one in self.fleet.pick(who)]
        for worker in self.workers:
            worker.start()

    def end_installers(self, most):
        """They end; no more than `most` were out at an instant."""
        self.installing = False
        for worker in self.workers:
            worker.join(timeout=40)
        print(f"{self.most_out} out at most")
        if self.most_out > most:
            raise Failed(f"{self.most_out} members were out at once, {most} may be")

    def release(self, who, stage, within, reason="", runs=None):
        """Each of `who` that runs knows the newest release in this stage; `runs`: what members say that they run."""
        def holds():
            for member in self.fleet.pick(who):
                if not member.running():
                    continue
                said = member.told("/ops/release")
                if not said:
                    return f"{member.name} does not answer"
                one = said.get("active") or (said["past"] or [{}])[-1]
                if one.get("stage") != stage or reason not in one.get("reason", ""):
                    return f"{member.name}: {one.get('stage')} ({one.get('reason')})"
                versions = {name: seen["version"] for name, seen in states(member.group()).items()}
                for name, version in (runs or {}).items():
                    if versions.get(name, version) != version:
                        return f"{member.name}: {name} runs {versions[name]}"
            return True
        self.eventually(within, f"release {stage}", holds)

    def release_ends(self, within):
        """Done or halted, by what all say. A halt holds: nobody has a turn then, and the way back leads to its end."""
        def holds():
            said = {member.name: member.told("/ops/release") for member in self.fleet.all}
            newest = [one and (one.get("active") or (one["past"] or [{}])[-1]) for one in said.values()]
            stages = {one.get("stage") if one else None for one in newest}
            self.ended = stages.pop() if len(stages) == 1 else None
            return self.ended in ("done", "halted", "back") or f"{[one and one.get('stage') for one in newest]}"
        self.eventually(within, "the release", holds)
        print(f"the release is {self.ended}")
        if self.ended != "halted":
            return
        for member in self.fleet.all:
            if self.turn(member):
                raise Failed(f"{member.name} has a turn of a halted release")
        self.call(0, "/ops/release/back", 200, within=10)
        self.release("all", "back", within, runs={member.name: "1" for member in self.fleet.all})
