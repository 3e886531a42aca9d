"""What a process holds and answers: sockets, timers, wake-ups, calls, commands."""
import os
import re
import subprocess
import time

from .base import StepsBase
from ..failure import Failed
from ..processes import NOT_KEPT
from wire import ops_call


class InspectionSteps(StepsBase):
    """What a process holds and answers: sockets, timers, wake-ups, calls, commands."""

    def sockets(self, who, tcp, udp):
        """How many sockets of its own each holds that listen or take datagrams, from the system's tables."""
        for member in self.fleet.pick(who):
            mine = set()
            for name in os.listdir(f"/proc/{member.process.pid}/fd"):
                try:
                    mine.add(os.readlink(f"/proc/{member.process.pid}/fd/{name}"))
                except OSError:
                    pass
            counts = {}
            for table, state in (("tcp", "0A"), ("udp", None)):
                with open(f"/proc/{member.process.pid}/net/{table}", encoding="utf-8") as file:
                    rows = [line.split() for line in file.readlines()[1:]]
                counts[table] = sum(1 for row in rows
                                    if f"socket:[{row[9]}]" in mine and (state is None or row[3] == state))
            if counts != {"tcp": tcp, "udp": udp}:
                raise Failed(f"{member.name} holds {counts}")

    def timers(self, who, are=None, least=None):
        """How many deadlines an idle process has set: each part that looks at something by itself has one."""
        for member in self.fleet.pick(who):
            body = []
            ops_call(member.ops_port, "GET", "/ops/stats", body, host=member.host)
            count = int(re.search(r"gw_timers (\d+)", body[0]).group(1))
            print(f"{member.name} has {count} timers")
            if (are is not None and count != are) or (least is not None and count < least):
                raise Failed(f"{member.name} has {count} timers, wanted {are if are is not None else f'{least} at least'}")

    def wakes(self, who, seconds, most):
        """How often an idle process goes to sleep in so many seconds: each timer has its own pace."""
        def count(member):
            with open(f"/proc/{member.process.pid}/status", encoding="utf-8") as file:
                return int(re.search(r"^voluntary_ctxt_switches:\s+(\d+)", file.read(), re.M).group(1))
        for member in self.fleet.pick(who):
            first = count(member)
            time.sleep(seconds)
            times = count(member) - first
            print(f"{member.name} woke {times} times in {seconds} s")
            if times > most:
                raise Failed(f"{member.name} woke {times} times in {seconds} s, {most} at most wanted")

    def logs(self, who, text, within=0):
        """Each of `who` has this text in its log."""
        def holds():
            for member in self.fleet.pick(who):
                with open(member.log, encoding="utf-8", errors="replace") as log:
                    if text not in log.read():
                        return f"{member.name} does not log '{text}'"
            return True
        self.eventually(within, "logs", holds)

    def ops(self, who, path, status, method="GET"):
        for member in self.fleet.pick(who):
            got = ops_call(member.ops_port, method, path, host=member.host)
            if got != status:
                raise Failed(f"{member.name}: {method} {path} gives {got}, not {status}")

    def command(self, who, words, status=0, holds=""):
        """`sumackeel WORDS --at` the member's operators' address."""
        for member in self.fleet.pick(who):
            done = subprocess.run([self.fleet.program, *words, "--at", f"{member.host}:{member.ops_port}"], text=True,
                                  capture_output=True, timeout=20, check=False)
            if done.returncode != status or holds not in done.stdout + done.stderr:
                raise Failed(f"{words}: status {done.returncode}, {done.stdout} {done.stderr}")
            member.unkept = NOT_KEPT in done.stdout
