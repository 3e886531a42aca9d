"""One process of the program: its files, start, end and what it says."""
import json
import os
import re
import subprocess
import threading
import time

from .failure import Failed
from .network import CLIENTS, LOOK_EVERY_S, OPS, PEERS, STARTED_WITHIN_S, STORE, VOTES
from wire import ops_call, settings_for

WARNINGS_SHOWN = 12
NOT_KEPT = "not kept yet"  # in a reply: the disk has not answered, and a loss of power may undo the call


class Member:
    def __init__(self, fleet, index, name=None):
        self.fleet, self.index, self.name = fleet, index, name or f"n{index}"
        self.host = f"{fleet.net}.{index + 1}"
        self.folder = os.path.join(fleet.folder, f"m{index}")
        os.makedirs(self.folder, exist_ok=True)
        self.log = os.path.join(self.folder, "log")
        self.process, self.faults, self.faulted, self.extra = None, 0, True, {}
        self.inherited = None  # the clients' listening socket, handed in
        self.ops_port, self.starts = OPS, 0
        self.taken = threading.Lock()  # by whoever ends and starts it, of several
        self.unkept = False  # its last command was answered with NOT_KEPT
        self.slow = False  # the program that it runs is one that answers late

    def write_files(self):
        fleet = self.fleet
        known = [(name, "edge-1", "small") for name in fleet.pop_caches or ("s-a", "s-b")]
        settings = settings_for(self.name, f"{self.host}:{CLIENTS}",
                                (lambda name: fleet.slow_boxes.at) if self.slow else fleet.box_at,
                                known + [("s-parent", "coast", "parent"), ("s-origin", "coast", "origin")])
        if fleet.logs:
            settings["changelog"] = f"{fleet.net}.252:{8000 + self.index}"
            settings["known"] = {"seq": 0, "results": []}
        settings["seed"] = f"{fleet.seed + self.index:016x}"
        settings["settings"]["instances"] = fleet.members
        settings["settings"]["family_info"]["count_by_zone"] = [0, fleet.members]
        with open(os.path.join(self.folder, "config.json"), "w", encoding="utf-8") as out:
            json.dump(settings, out)
        keys = {"group": "school", "name": self.name, "listen": f"{self.host}:{PEERS}", "key": "key", "folder": "state",
                "period_ms": 200, "probe_timeout_ms": 80, "exchange_s": 3, **fleet.peers, **self.extra}
        key = keys.pop("key_text", "a key that all members share")
        offset = keys.pop("clock_offset_s", 0)
        with open(os.path.join(self.folder, "key"), "w", encoding="utf-8") as out:
            out.write(key + "\n")
        others = [other for other in fleet.all if other is not self]
        reach = {f"{other.host}:{PEERS}": fleet.relayed(self, other) for other in others}
        if fleet.agreed is not None:
            reach.update({f"{other.host}:{VOTES}": fleet.relayed(self, other, 20000) for other in others})
        seeds = [fleet.relayed(self, other) for other in fleet.all if other is not self][:8]
        with open(os.path.join(self.folder, "operator.toml"), "w", encoding="utf-8") as out:
            out.write("# written by the fleet bench\n")
            if offset:
                out.write(f"test_clock_offset_s = {offset}\n")
            if fleet.peers_on:
                out.write("[peers]\n")
                for key, value in keys.items():
                    out.write(f"{key} = {json.dumps(value)}\n")
                out.write(f"seeds = {json.dumps(seeds)}\n")
                out.write("reach = { %s }\n" % ", ".join(f"{json.dumps(k)} = {json.dumps(v)}" for k, v in reach.items()))
            if fleet.recovery is not None:
                out.write('[saved_list]\nfolder = "list"\nsite = "school"\nsave_every_ms = 100\n[recovery]\n')
                for key, value in {"folder": "kept", **fleet.recovery}.items():
                    out.write(f"{key} = {json.dumps(value)}\n")
            if fleet.store is not None:
                out.write(f'[store]\nlisten = "{self.host}:{STORE}"\nfolder = "store"\nname = "{self.name}"\n')
                for key, value in fleet.store.items():
                    out.write(f"{key} = {json.dumps(value)}\n")
            if fleet.agreed is not None:
                agreed = {"folder": "agreed", "election_ms": 400, **fleet.agreed}
                voting = agreed.pop("voting", 3)
                voters = fleet.pick(voting) if isinstance(voting, list) else fleet.all[:voting]
                out.write("[agreed]\n")
                for key, value in agreed.items():
                    out.write(f"{key} = {json.dumps(value)}\n")
                out.write("voters = { %s }\n" % ", ".join(f'{one.name} = "{one.host}:{VOTES}"' for one in voters))

    def start(self, replaces=False, **extra):
        self.extra.update(extra)
        self.write_files()
        # As on the platform: empty at each start, but kept where one process replaces another.
        self.starts += 0 if replaces else 1
        scratch = os.path.join(self.folder, f"tmp{self.starts}")
        os.makedirs(scratch, exist_ok=True)
        env = dict(os.environ, GW_CONFIG=os.path.join(self.folder, "config.json"), TMPDIR=scratch,
                   GW_OPS=f"{self.host}:{self.ops_port}")
        env.pop("GW_INHERITED_FD", None)
        fds = []
        if self.inherited:
            env["GW_INHERITED_FD"], fds = str(self.inherited.fileno()), [self.inherited.fileno()]
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen([self.fleet.program, "serve", "--operator",
                                             os.path.join(self.folder, "operator.toml"), "--log-level",
                                             os.environ.get("FLEET_LOG_LEVEL", "info")], env=env, stderr=log,
                                            pass_fds=fds)
        return self

    def ready(self, within=STARTED_WITHIN_S):
        end = time.monotonic() + within
        while ops_call(self.ops_port, "GET", "/ops/readiness", host=self.host, bound=2) != 200:
            if self.process.poll() is not None:
                raise Failed(f"{self.name} ended with {self.process.returncode}: {self.tail()}")
            if time.monotonic() > end:
                raise Failed(f"{self.name} is not ready within {within} s")
            time.sleep(LOOK_EVERY_S)
        self.faulted = False

    def tail(self):
        with open(self.log, encoding="utf-8", errors="replace") as log:
            return " | ".join(log.read().splitlines()[-5:])

    def warnings(self):
        """The latest warnings and errors of its log."""
        if not os.path.exists(self.log):
            return []
        with open(self.log, encoding="utf-8", errors="replace") as log:
            return [line for line in log.read().splitlines() if re.match(r"\S+ (warn|error) ", line)][-WARNINGS_SHOWN:]

    def fault(self, number):
        self.faults += 1
        self.faulted = True
        self.process.send_signal(number)

    def told(self, path):
        """What the member's operators' address tells there; None where it does not answer."""
        body = []
        status = ops_call(self.ops_port, "GET", path, body, host=self.host, bound=2)
        return json.loads(body[0]) if status == 200 else None

    def group(self):
        return self.told("/ops/group")

    def running(self):
        return self.process is not None and self.process.poll() is None and not self.faulted

    def seen_changes(self):
        """(seer, member, state) of each change in its log."""
        with open(self.log, encoding="utf-8", errors="replace") as log:
            return [(self.name, *found.groups())
                    for found in re.finditer(r"cluster: state_changed member=(\S+) state=(\w+) previous=", log.read())]
