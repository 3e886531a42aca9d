"""The voters of the replicated log: leaders, followers, their folders."""
import os
import shutil
import subprocess
import time

from .base import StepsBase
from ..failure import Failed
from ..network import LOOK_EVERY_S


WORD = 8  # bytes: what is written ends at a multiple of it
TORN_WRITE = bytes(range(1, 25))


def written_bytes(path):
    """Of a file that the log may have preallocated."""
    with open(path, "rb") as file:
        return len(file.read().rstrip(b"\0"))


class ConsensusSteps(StepsBase):
    """The voters of the replicated log: leaders, followers, their folders."""

    def damage_log(self, who, how, with_entries=False):
        """The newest file of a voter's log, or the newest in which something is written, loses its second half, has zeros
        in its place, or has a byte changed in what is written of it; `torn`: a write behind that was begun."""
        for member in self.fleet.pick(who):
            folder = os.path.join(member.folder, "agreed")
            names = [name for name in os.listdir(folder) if not name.startswith("metadata")]
            paths = [os.path.join(folder, name) for name in names]
            paths = [path for path in paths if os.path.isfile(path)]  # not a log that was moved aside
            if with_entries:
                paths = [path for path in paths if written_bytes(path) > 0]
            path = max(paths, key=lambda at: (os.path.getmtime(at), at))
            with open(path, "r+b") as file:
                data = file.read()
                written = len(data.rstrip(b"\0"))
                print(f"{how} {os.path.basename(path)}: {written} bytes written of {len(data)}")
                if how == "cut":
                    file.truncate(max(8, written // 2))
                elif how == "torn":
                    file.seek((written // WORD + 2) * WORD)
                    file.write(TORN_WRITE)
                elif how == "zeros":
                    file.seek(written // 2)
                    file.write(bytes(written - written // 2))
                else:
                    file.seek(written // 2)
                    file.write(bytes([data[written // 2] ^ 0x20]))

    def renew_log(self, who):
        """A voter is replaced: ended where it runs, its folder emptied, started anew to be filled by the others."""
        for member in self.fleet.pick(who):
            if member.process.poll() is None:
                self.kill(member.index)
            shutil.rmtree(os.path.join(member.folder, "agreed"), ignore_errors=True)
        self.start(who)

    def no_leader(self, who, seconds):
        """For so long none of `who` leads or knows of a leader."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for member in self.fleet.pick(who):
                said = self.rollout(member)
                if said and (said["leads"] or said["leader"]):
                    have = sorted(one["member"] for one in said["leases"])
                    raise Failed(f"{member.name} has the leader '{said['leader']}' and knows the leases {have}")
            time.sleep(LOOK_EVERY_S)

    def fault_leader(self, do_what):
        """kill or stop whoever leads."""
        def led():
            for member in self.fleet.all:
                said = self.rollout(member) if member.running() else None
                if said and said["leads"]:
                    self.fleet.led = member
                    return True
            return "nobody leads"
        self.eventually(10, "leader", led)
        print(f"the leader is {self.fleet.led.name}")
        getattr(self, do_what)("led")

    def fault_follower(self, do_what):
        """The same to one that votes and leads not; it is "led" from then on."""
        said = {member.name: self.rollout(member) for member in self.fleet.all}
        self.fleet.led = next(member for member in self.fleet.all if said[member.name]["votes"] and not said[member.name]["leads"])
        getattr(self, do_what)("led")

    def swallow(self, size=None, least=0, within=15, seconds=0):
        """What voters send to "led" and is as long is lost with its stream, until that has happened so often and for so
        long."""
        links = [link for pair, link in self.fleet.relay.links.items() if pair[1:] == (self.fleet.led.index, "votes")]
        for link in links:
            link.swallow_from = size
        lost = lambda: sum(link.swallowed for link in links)  # noqa: E731
        self.eventually(within, "swallowed", lambda: lost() >= least or f"{lost()} times")
        time.sleep(seconds)

    def forget_log(self, who):
        """A voter's disk lost its log."""
        for member in self.fleet.pick(who):
            shutil.rmtree(os.path.join(member.folder, "agreed"), ignore_errors=True)

    def force(self, who):
        for member in self.fleet.pick(who):
            subprocess.run([self.fleet.program, "recovery", "force", os.path.join(member.folder, "agreed")], check=True)

    def kept_force(self, who):
        """The operator's force is on record."""
        for member in self.fleet.pick(who):
            names = os.listdir(os.path.join(member.folder, "agreed"))
            if "force" in names or not any(name.startswith("forced-") for name in names):
                raise Failed(f"{member.name}: {names}")

    def kept_aside(self, who):
        """The log that a voter had is out of the way, and still there."""
        for member in self.fleet.pick(who):
            folder = os.path.join(member.folder, "agreed")
            if not any(name.startswith("aside-") and os.listdir(os.path.join(folder, name)) for name in os.listdir(folder)):
                raise Failed(f"{member.name}: {os.listdir(folder)}")

    def voters(self, who, are, within, stay=0):
        """These vote, as each of `who` says; "named": those of the files."""
        are = sorted(self.fleet.agreed["voting"] if are == "named" else are)

        def holds():
            chosen = self.fleet.pick(self.fleet.agreed["voting"] if who == "named" else who)
            said = [(self.rollout(member) or {}).get("voters") for member in chosen]
            return all(one == are for one in said) or str(said)
        self.eventually(within, "voters", holds)
        end = time.monotonic() + stay
        while time.monotonic() < end:
            if holds() is not True:
                raise Failed(f"voters: {holds()}")
            time.sleep(LOOK_EVERY_S)

    def vote_out(self, who):
        """It is named as a voter no more, and somebody else in its place."""
        self.votes([one for one in self.fleet.agreed["voting"] if one != self.fleet.pick(who)[0].name] + ["n3"])

    def kill_one_voter(self):
        """One of those named that leads not, so that all others are needed."""
        named = [member for member in self.fleet.pick(self.fleet.agreed["voting"]) if member.running()]
        self.kill(next(member.index for member in named if not (self.rollout(member) or {}).get("leads")))

    def votes(self, are, who="all"):
        """From now on these are named as voters in the files of `who`, read anew by those that run."""
        self.fleet.agreed["voting"] = are
        self.reload([member.name for member in self.fleet.pick(who) if member.running()])
