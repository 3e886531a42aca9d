"""Start, stop, kill and replace processes; damage what they have on disk."""
import os
import random
import resource
import shutil
import signal
import socket
import threading
import time

from .base import StepsBase
from ..failure import Failed
from ..network import CLIENTS


class ProcessesSteps(StepsBase):
    """Start, stop, kill and replace processes; damage what they have on disk."""

    def start(self, who, **extra):
        chosen = self.fleet.pick(who)
        for member in chosen:
            member.start(**extra)
        for member in chosen:
            member.ready()

    def stop(self, who):
        for member in self.fleet.pick(who):
            member.fault(signal.SIGSTOP)

    def cont(self, who):
        for member in self.fleet.pick(who):
            member.process.send_signal(signal.SIGCONT)
            member.faulted = False

    def kill(self, who):
        chosen = self.fleet.pick(who)
        for member in chosen:
            member.fault(signal.SIGKILL)
        for member in chosen:
            member.process.wait()

    def end(self, who, within=10):
        for member in self.fleet.pick(who):
            member.fault(signal.SIGTERM)
        for member in self.fleet.pick(who):
            if member.process.wait(timeout=within) != 0:
                raise Failed(f"{member.name} ended with {member.process.returncode}")

    def starve(self, who, seconds, run, rest):
        """Runs for `run` seconds, then not for `rest`, again and again: a core that others take."""
        end = time.monotonic() + seconds
        members = self.fleet.pick(who)
        while time.monotonic() < end:
            for member in members:
                member.fault(signal.SIGSTOP)
            time.sleep(rest)
            self.cont(who)
            time.sleep(run)

    def copy(self, who, of):
        """Another process under the name of `of`."""
        for member in self.fleet.pick(who):
            member.name = self.fleet.pick(of)[0].name
        self.start(who)

    def hand_in(self, who):
        """From now on its clients' listening socket is the test's, as the platform holds it."""
        for member in self.fleet.pick(who):
            member.inherited = socket.socket()
            member.inherited.bind((member.host, CLIENTS))
            member.inherited.listen(512)

    def replace(self, who):
        """A second process beside the first, which then gets SIGTERM, as at an upgrade."""
        for member in self.fleet.pick(who):
            old = member.process
            ops_at, member.ops_port = member.ops_port, member.ops_port + 10
            member.start(replaces=True)
            member.ready()
            old.send_signal(signal.SIGTERM)
            if old.wait(timeout=10) != 0:
                raise Failed(f"the process before on {ops_at} ended with {old.returncode}")

    def forget_disk(self, who):
        for member in self.fleet.pick(who):
            shutil.rmtree(os.path.join(member.folder, "state"), ignore_errors=True)

    def damage_disk(self, who, text):
        for member in self.fleet.pick(who):
            with open(os.path.join(member.folder, "state", "start"), "w", encoding="utf-8") as out:
                out.write(text)

    def start_or_say(self, who, holds):
        """Starts; one that does not must have ended with status 2 and said why."""
        for member in self.fleet.pick(who):
            member.start()
            try:
                member.ready()
            except Failed:
                if member.process.poll() != 2 or holds not in member.tail():
                    raise
                print(f"{member.name} said: {member.tail()[-200:]}")

    def fill_disk(self, who):
        """Files of this process can't grow past what they are: each write beyond fails."""
        for member in self.fleet.pick(who):
            resource.prlimit(member.process.pid, resource.RLIMIT_FSIZE, (0, 0))

    def faults(self, seconds, chance=None, lock=None):
        """Members stopped, killed and started again, cut off and healed by chance."""
        end, chance, lock = time.monotonic() + seconds, chance or random.Random(self.fleet.seed), lock or threading.Lock()
        while time.monotonic() < end:
            with lock:
                member, what = chance.choice(self.fleet.all), chance.choice(["stop", "kill", "cut", "cut"])
                last, rest = chance.uniform(0.3, 1.5), chance.uniform(0.2, 0.8)
            with member.taken:
                if what == "cut":
                    self.cut(member.index, "all", both=True)
                    time.sleep(last)
                    self.heal()
                else:
                    self.interrupt(member, what, last if what == "stop" else last / 2)
            time.sleep(rest)

    def interrupt(self, member, what, seconds):
        """It does not run for so long: stopped and continued, or killed and started."""
        halt, resume = (self.stop, self.cont) if what == "stop" else (self.kill, self.start)
        halt(member.index)
        time.sleep(seconds)
        resume(member.index)

    def launch(self, who):
        """Started, not waited for."""
        for member in self.fleet.pick(who):
            member.start()

    def ready(self, who):
        for member in self.fleet.pick(who):
            member.ready()

    def reload(self, who, **extra):
        """Another operator's file, read anew by the running process."""
        for member in self.fleet.pick(who):
            member.extra.update(extra)
            member.write_files()
            member.process.send_signal(signal.SIGHUP)

    def rules(self, who="all", **wanted):
        """Another operator's file for each of `who`: started anew with it, one after another."""
        self.fleet.agreed.update(wanted)
        for member in self.fleet.pick(who):
            self.end(member.index)
            self.start(member.index)
