"""A loss of power and the way back."""
import os
import random
import shutil
import subprocess
import time

from .base import StepsBase
from ..failure import Failed

KEPT_LATE_WITHIN_S = 5


class RecoverySteps(StepsBase):
    """A loss of power and the way back."""

    def power_off(self):
        """All processes at one instant, and what the boxes held."""
        self.kill("all")
        self.fleet.copies.forget()
        self.off_at = time.time()

    def power_on(self, who="all", over=0.0, **extra):
        """Started in an order by chance within `over` seconds; not waited for."""
        members = self.fleet.pick(who)
        chance = random.Random(self.fleet.seed)
        chance.shuffle(members)
        self.on_at, self.first_on = time.time(), time.monotonic()
        for place, member in enumerate(members):
            wait = self.first_on + over * place / max(1, len(members) - 1) - time.monotonic()
            time.sleep(max(0, wait))
            member.start(**extra)

    def recovery(self, member):
        return member.told("/ops/recovery")

    def stage(self, who, stage, within, reason="", **wanted):
        """Each of `who` that was started is on this stage of the ladder; `wanted`: keys of what it says."""
        def holds():
            for member in self.fleet.pick(who):
                if member.process is None or member.process.poll() is not None:
                    continue
                said = self.recovery(member)
                if not said or said["stage"] not in ([stage] if isinstance(stage, str) else stage):
                    return f"{member.name}: {said and said['stage']} ({said and said['reason']})"
                if reason not in said["reason"]:
                    return f"{member.name}: {said['reason']}"
                for key, value in wanted.items():
                    if said.get(key) != value:
                        return f"{member.name}: {key} is {said.get(key)}"
                if said["ready"]:
                    member.faulted = False
            return True
        self.eventually(within, f"stage {stage}", holds)
        print(f"{time.monotonic() - getattr(self, 'first_on', time.monotonic()):.2f} s after the power")

    def kept(self, who, within=0, **wanted):
        """What each says that it kept: bans, drain, set_aside as a number. Later where its last command said so."""
        def holds():
            for member in self.fleet.pick(who):
                said = self.recovery(member)
                if not said:
                    return f"{member.name} does not answer"
                have = {"bans": said["kept"]["bans"], "drain": said["kept"]["drain"], "fault": said["kept"]["fault"] != "",
                        "set_aside": len(said["set_aside"]), "hands": len(said["hands"])}
                for key, value in wanted.items():
                    if have[key] != value:
                        return f"{member.name}: {key} {have[key]}"
            return True
        if any(member.unkept for member in self.fleet.pick(who)):
            within = max(within, KEPT_LATE_WITHIN_S)
        self.eventually(within, "kept", holds)

    def load(self, box, most, least=1):
        """Fills that came to a hub or the origin since the power returned: at most so many in any second."""
        found = self.fleet.copies.most_in_a_second(box, self.on_at)
        print(f"{box}: {found} fills in the worst second")
        if not least <= found <= most:
            raise Failed(f"{box}: {found} fills in a second, {least} to {most} wanted")

    def refill(self, seconds_old):
        """Boxes come back with copies of all that clients ask for, as old as that: a loss that they outlived."""
        dated = time.time() - seconds_old
        with self.fleet.copies.lock:
            for held in self.fleet.copies.held.values():
                for item in range(self.fleet.objects):
                    held[(f"{item:016x}", "0")] = dated

    def no_old_copy(self, since="purged_at", grace=0.35):
        """From `grace` after the power's return no copy from before the purge, or before the loss, was served."""
        bound = getattr(self, since)
        begin = max(getattr(self, "on_at", 0), getattr(self, "purged_at", 0) + grace)
        bad = [one for one in self.fleet.copies.served if one[0] > begin and one[2] < bound]
        print(f"{len(self.fleet.copies.served)} copies served, {len(bad)} too old")
        if bad:
            raise Failed(f"{len(bad)} copies from before {since} were served, first {bad[0]}")

    def clients(self, only="all"):
        """Only the clients of these ask from now on."""
        asking = self.fleet.pick(only)
        for client in self.fleet.clients:
            client.resting = client.member not in asking

    def no_old_copy_for(self, seconds, grace, since="purged_at"):
        time.sleep(seconds)
        self.no_old_copy(since, grace)

    def mark(self):
        """A moment that `since` may name as "marked_at"."""
        self.marked_at = time.time()

    def not_asked(self, box):
        """Nobody has asked that pop cache since the power returned."""
        asked = [at for at, name in self.fleet.copies.asked if name == box and at > self.on_at]
        if asked:
            raise Failed(f"{box} was asked {len(asked)} times, first {asked[0] - self.on_at:.2f} s after the power")

    def answers(self, who, within):
        """A request to each of `who` is served."""
        began = {client.member.name: client.answered for client in self.fleet.clients}
        wanted = {member.name for member in self.fleet.pick(who)}
        self.eventually(within, "answers", lambda: all(
            client.answered > began[client.member.name] for client in self.fleet.clients
            if client.member.name in wanted) or "not yet")

    def damage_kept(self, who, how):
        """The newest file of what is kept is cut in half, or has a byte changed."""
        for member in self.fleet.pick(who):
            folder = os.path.join(member.folder, "kept")
            path = os.path.join(folder, max(name for name in os.listdir(folder) if name.endswith(".sumkept")))
            with open(path, "r+b") as file:
                data = file.read()
                if how == "cut":
                    file.truncate(len(data) // 2)
                else:
                    file.seek(len(data) // 2)
                    file.write(bytes([data[len(data) // 2] ^ 1]))

    def verify(self, who, status, holds):
        """What is kept, looked at offline."""
        for member in self.fleet.pick(who):
            done = subprocess.run([self.fleet.program, "recovery", "verify", os.path.join(member.folder, "kept")], text=True,
                                  capture_output=True, timeout=20, check=False)
            if done.returncode != status or holds not in done.stdout:
                raise Failed(f"verify: {done.returncode} {done.stdout} {done.stderr}")

    def read_only(self, who):
        """The folder of what is kept can't be written: a plain file stands in its place."""
        for member in self.fleet.pick(who):
            path = os.path.join(member.folder, "kept")
            shutil.rmtree(path, ignore_errors=True)
            with open(path, "w", encoding="utf-8") as out:
                out.write("no folder\n")
