"""Several real processes of the program on loopback, links between them that a test steers, stand-in pop caches
and clients with a checker. Scenarios (scenarios/*.toml) are data; what they may say is the Steps class.

Each scenario has a loopback network of its own, so that any number run beside each other.
"""
import hashlib
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "daemon"))
from power import ChangeLogs, Copies  # noqa: E402
from relay import Relay  # noqa: E402
from wire import cache_box, dispatch, ops_call, reply, settings_for  # noqa: E402

CLIENTS, OPS, PEERS, VOTES, STORE = 9000, 9001, 9002, 9003, 9004  # ports, at each member's own address
LOOK_EVERY_S = 0.05
STARTED_WITHIN_S = 30


class Failed(Exception):
    """What must hold does not."""


def own_network():
    """A /24 of loopback that no other test holds: the first address whose guard's port is free."""
    for turn in range(2000):
        number = (os.getpid() + 7919 * turn) % 62000
        net = f"127.{1 + number // 250}.{1 + number % 250}"
        guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            guard.bind((f"{net}.254", 9))
            return net, guard
        except OSError:
            guard.close()
    raise Failed("no free loopback network")


class Boxes:
    """Stand-in pop caches, a parent and an origin at one address. Counts what ran, `enrol` by request."""

    def __init__(self, host, delay=0):
        self.listener = socket.socket()
        self.listener.bind((host, 0))
        self.listener.listen(256)
        self.at = "%s:%d" % self.listener.getsockname()
        self.lock, self.enrols, self.served = threading.Lock(), {}, [0]
        threading.Thread(target=cache_box, args=(self.listener, self.served, self.see, delay), daemon=True).start()

    def see(self, request, fields):
        if request.startswith("e"):
            with self.lock:
                self.enrols[request] = self.enrols.get(request, 0) + 1


class Client(threading.Thread):
    """Asks one proxy again and again, one request at a time; each has one answer, or a reason to have none."""

    def __init__(self, member, pause=0.02):
        super().__init__(daemon=True)
        self.member, self.pause, self.going, self.resting = member, pause, True, False
        self.answered = self.other = self.excused = 0
        self.wrong = []
        self.keep_times = None  # a list: seconds of each that was answered

    def run(self):
        conn, sequence, number = None, 0, 0
        while self.going:
            if self.resting:
                time.sleep(LOOK_EVERY_S)
                continue
            number += 1
            enrol = number % 10 == 0
            ident = f"{'e' if enrol else 'a'}{self.member.index:03x}{os.getpid() % 65536:04x}{number:08x}"
            faults = self.member.faults
            try:
                if conn is None:
                    conn, sequence = socket.create_connection((self.member.host, CLIENTS), timeout=4), 0
                sequence += 1
                sent = time.perf_counter()
                conn.sendall(dispatch(sequence, ident.encode(), b"%016x" % (number * 7919 % self.member.fleet.objects),
                                      b"enrol" if enrol else b"sheet"))
                got, place = reply(conn)
                if got != sequence:
                    self.wrong.append(f"{ident}: an answer for number {got} instead of {sequence}")
                if place == 0:
                    self.answered += 1
                    if self.keep_times is not None:
                        self.keep_times.append(time.perf_counter() - sent)
                else:
                    self.other += 1
            except (OSError, ConnectionError):
                if conn:
                    conn.close()
                fresh, conn = sequence <= 1, None
                # A process that is stopped, killed or ending answers nobody; on a connection kept for long the
                # proxy may close just as we send, before it has read anything.
                if faults != self.member.faults or self.member.faulted or not fresh:
                    self.excused += 1
                else:
                    self.wrong.append(f"{ident}: no answer from {self.member.name}")
            time.sleep(self.pause)
        if conn:
            conn.close()


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


class Fleet:
    def __init__(self, program, scenario, seed):
        self.program, self.seed = program, seed
        self.members = scenario.get("members", 5)
        self.agreed = scenario.get("agreed")  # settings of [agreed], and `voting`: how many of the first vote
        self.store = scenario.get("store")  # settings of [store]
        self.pop_caches = scenario.get("pop_caches")  # ids of the school's; default: two
        self.peers, self.peers_on = scenario.get("peers", {}), scenario.get("peers_on", True)
        self.net, self.guard = own_network()
        self.folder = tempfile.mkdtemp(prefix="sumackeel-fleet-")
        self.boxes = Boxes(f"{self.net}.250")
        self.slow_boxes = Boxes(f"{self.net}.251", delay=0.1)
        self.objects = scenario.get("objects", 997)  # that clients ask for
        self.recovery = scenario.get("recovery")  # settings of [recovery]; boxes then hold copies, and lists come from
        self.logs = ChangeLogs(self.net, self.members) if self.recovery is not None else None  # a change log for each
        self.copies = Copies(self.net, [*(self.pop_caches or ("s-a", "s-b")), "s-parent", "s-origin"]) if self.logs else None
        if self.logs:
            self.logs.tell({"fleet": {"seq": 1, "whole": True, "hosts": self.hosts()}})
        self.box_of = {}  # pop caches of their own, by id, where it matters who is asked
        for number, name in enumerate(() if self.copies else self.pop_caches or ()):
            self.box_of[name] = Boxes(f"{self.net}.{210 + number}")
        self.all = []
        names = scenario.get("names", {})
        for index in range(self.members):
            self.all.append(Member(self, index, names.get(str(index))))
        for index, extra in scenario.get("member", {}).items():
            self.all[int(index)].extra.update(extra)
        places = {}
        if self.peers_on:
            for a in self.all:
                for b in self.all:
                    if a is not b:
                        places[(a.index, b.index)] = ((f"{self.net}.200", self.port(a, b)), (b.host, PEERS))
                        if self.agreed is not None:
                            places[(a.index, b.index, "votes")] = ((f"{self.net}.200", self.port(a, b) + 20000),
                                                                   (b.host, VOTES))
        self.led = None
        self.relay = Relay(places, seed)
        self.relay.start()
        self.clients = []

    def hosts(self, state="SERVING", names=None):
        return [{"host": name, "dial": self.copies.at[name], "site": "edge-1" if name[2] != "p" and name != "s-origin"
                 else "coast", "class": {"s-parent": "parent", "s-origin": "origin"}.get(name, "small"), "block": 1,
                 "health": state, "share": 8, "born_ms": 0} for name in names or self.copies.at]

    def box_at(self, name):
        if self.copies:
            return self.copies.at[name]
        return self.box_of.get(name, self.boxes).at

    def port(self, a, b):
        return 10000 + a.index * 64 + b.index

    def relayed(self, a, b, more=0):
        return f"{self.net}.200:{self.port(a, b) + more}"

    def pick(self, words):
        """Members by name or number: "n1", 1, a list of them, or "all"; "led": whom the last fault of a leader or a
        follower hit."""
        if words == "all":
            return list(self.all)
        words = words if isinstance(words, list) else [words]
        return [self.led if word == "led" else self.all[word if isinstance(word, int) else int(word[1:])] for word in words]

    def links(self, a, b):
        return [link for x in self.pick(a) for y in self.pick(b) if x is not y
                for pair, link in self.relay.links.items() if pair[:2] == (x.index, y.index)]

    def with_traffic(self):
        for member in self.all:
            client = Client(member)
            client.start()
            self.clients.append(client)

    def check_traffic(self):
        for client in self.clients:
            client.going = False
        for client in self.clients:
            client.join(timeout=10)
        wrong = [line for client in self.clients for line in client.wrong]
        ran = {}
        for boxes in [self.boxes, self.slow_boxes, *self.box_of.values()]:
            for ident, count in boxes.enrols.items():
                ran[ident] = ran.get(ident, 0) + count
        if self.copies:
            ran.update(self.copies.enrols)
        twice = {ident: count for ident, count in ran.items() if count > 1}
        answered = sum(client.answered for client in self.clients)
        print(f"traffic: answered {answered}, refused or failed {sum(c.other for c in self.clients)}, "
              f"without an answer for a reason {sum(c.excused for c in self.clients)}, wrong {len(wrong)}, "
              f"enrol run {len(ran)}, twice {len(twice)}")
        if wrong or twice:
            raise Failed(f"traffic: {wrong[:5]} {list(twice)[:5]}")
        if self.clients and answered == 0:
            raise Failed("traffic: nothing was answered at all")

    def close(self, keep):
        for client in self.clients:
            client.going = False
        for member in self.all:
            if member.process and member.process.poll() is None:
                member.process.kill()
                member.process.wait()
        self.relay.going = False
        self.relay.join(timeout=2)
        for boxes in [self.boxes, self.slow_boxes, *self.box_of.values()]:
            boxes.listener.close()
        for one in (self.copies, self.logs):
            if one:
                one.close()
        self.guard.close()
        if keep:
            print(f"files of this run are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def states(said):
    return {one["name"]: one for one in said["members"]}


class Steps:
    """One function for each step that a scenario may have; the keys beside `do` are its arguments."""

    def __init__(self, fleet):
        self.fleet = fleet

    def eventually(self, within, what, holds):
        """Looks until `holds()` says yes; what it last said otherwise is in the complaint."""
        end, said = time.monotonic() + within, "nothing"
        while True:
            said = holds()
            if said is True:
                return
            if time.monotonic() > end:
                raise Failed(f"{what}: not within {within} s: {said}")
            time.sleep(LOOK_EVERY_S)

    # Processes.
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

    def damage_log(self, who, how):
        """The newest file of a voter's log loses its second half, or has a byte changed in what is written of it."""
        for member in self.fleet.pick(who):
            folder = os.path.join(member.folder, "agreed")
            names = [name for name in os.listdir(folder) if not name.startswith("metadata")]
            path = max((os.path.join(folder, name) for name in names), key=lambda at: (os.path.getmtime(at), at))
            with open(path, "r+b") as file:
                data = file.read()
                written = len(data.rstrip(b"\0"))
                print(f"{how} {os.path.basename(path)}: {written} bytes written of {len(data)}")
                if how == "cut":
                    file.truncate(max(8, written // 2))
                else:
                    file.seek(written // 2)
                    file.write(bytes([data[written // 2] ^ 0x20]))

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

    def renew_log(self, who):
        """A voter is replaced: ended where it runs, its folder emptied, started anew to be filled by the others."""
        for member in self.fleet.pick(who):
            if member.process.poll() is None:
                self.kill(member.index)
            shutil.rmtree(os.path.join(member.folder, "agreed"), ignore_errors=True)
        self.start(who)

    def fill_disk(self, who):
        """Files of this process can't grow past what they are: each write beyond fails."""
        for member in self.fleet.pick(who):
            resource.prlimit(member.process.pid, resource.RLIMIT_FSIZE, (0, 0))

    # Links.
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
        """Bytes that are no datagram of the group's, at the length given."""
        target = self.fleet.pick(to)[0]
        source = next(member for member in self.fleet.all if member is not target)
        for number in range(count):
            data = bytes(self.fleet.relay.random.randrange(256) for _ in range(length))
            self.fleet.relay.inject((source.index, target.index), data if number % 2 else b"SG\x01\x01" + data)
            time.sleep(0.005)  # a socket holds few long ones at once

    def during(self, seconds):
        """How long the fault of the steps before lasts."""
        time.sleep(seconds)

    # What must hold.
    def agree(self, within, who="all", alive=None):
        """All of `who` that run see exactly each other (or `alive`) as alive."""
        chosen = self.fleet.pick(who)

        def holds():
            running = [member for member in chosen if member.running()]
            wanted = {m.name for m in (self.fleet.pick(alive) if alive is not None else running)}
            for member in running:
                said = member.group()
                if said is None:
                    return f"{member.name} does not answer"
                there = {name for name, one in states(said).items() if one["state"] == "alive"}
                if there != wanted - {member.name} or said["state"] != "alive":
                    others = {n: (o["state"], o["doubted_by"]) for n, o in states(said).items() if n not in there}
                    return f"{member.name} ({said['state']}) sees {sorted(there)} and {others}"
            return True
        self.eventually(within, "agree", holds)

    def sees(self, who, member, state, within, by=None, start=None):
        """Each of `who` sees `member` in `state` (a word or several), doubted by `by` among others."""
        wanted = state if isinstance(state, list) else [state]

        def holds():
            for seer in self.fleet.pick(who):
                if seer.name == member or not seer.running():
                    continue
                said = seer.group()
                one = states(said).get(member) if said else None
                if one is None or one["state"] not in wanted:
                    return f"{seer.name} sees {one}"
                if by is not None and not set(by) <= set(one["doubted_by"]):
                    return f"{seer.name}: doubted by {one['doubted_by']}"
                if start is not None and one["start"] != start:
                    return f"{seer.name}: start {one['start']}"
            return True
        self.eventually(within, f"{member} {state}", holds)

    def says(self, who, within=0, **wanted):
        """Each of `who` says these of itself, as `side = "minority"`; a number is what it is at least."""
        def holds():
            for member in self.fleet.pick(who):
                said = member.group()
                for key, value in wanted.items():
                    have = said
                    for part in key.split("__"):
                        have = have.get(part) if isinstance(have, dict) else None
                    number = isinstance(value, (int, float)) and not isinstance(value, bool)
                    if have is None or (have < value if number else have != value):
                        return f"{member.name}: {key} is {have}, not {value}"
            return True
        self.eventually(within, "says", holds)

    def some_says(self, who, within=0, **wanted):
        """At least one of `who` says these of itself."""
        def holds():
            complaints = []
            for member in self.fleet.pick(who):
                try:
                    self.says([member.index], 0, **wanted)
                    return True
                except Failed as fault:
                    complaints.append(str(fault))
            return complaints
        self.eventually(within, "some says", holds)

    def counts(self, who, zone, within, **wanted):
        """How many proxies each of `who` counts in a zone, exactly."""
        def holds():
            found = {member.name: member.group()["counts"].get(zone) for member in self.fleet.pick(who)}
            return all(count == wanted["is"] for count in found.values()) or f"{found}"
        self.eventually(within, "counts", holds)

    # Leaves.
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
        """One operator's call, again until `within` where it is not answered so at first."""
        def holds_now():
            member, body = self.fleet.pick(who)[0], []
            got = ops_call(member.ops_port, "POST", path, body, host=member.host)
            said = body[0].strip() if body else ""
            return (got == status and holds in said) or f"{got} {said}"
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

    def faults(self, seconds, chance=None, lock=None):
        """Members stopped, killed and started again, cut off and healed by chance."""
        end, chance, lock = time.monotonic() + seconds, chance or random.Random(self.fleet.seed), lock or threading.Lock()
        while time.monotonic() < end:
            with lock:
                member, what = chance.choice(self.fleet.all), chance.choice(["stop", "kill", "cut", "cut"])
                last, rest = chance.uniform(0.3, 1.5), chance.uniform(0.2, 0.8)
            with member.taken:
                if what == "stop":
                    self.stop(member.index)
                    time.sleep(last)
                    self.cont(member.index)
                elif what == "kill":
                    self.kill(member.index)
                    time.sleep(last / 2)
                    self.start(member.index)
                else:
                    self.cut(member.index, "all", both=True)
                    time.sleep(last)
                    self.heal()
            time.sleep(rest)

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

    def launch(self, who):
        """Started, not waited for."""
        for member in self.fleet.pick(who):
            member.start()

    def ready(self, who):
        for member in self.fleet.pick(who):
            member.ready()

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

    # Releases.
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

    def reload(self, who, **extra):
        """Another operator's file, read anew by the running process."""
        for member in self.fleet.pick(who):
            member.extra.update(extra)
            member.write_files()
            member.process.send_signal(signal.SIGHUP)

    # Keys that all agree on.
    def words(self, member, **question):
        """One question of `sumackeel store`, answered within 3 s, or None."""
        try:
            with socket.create_connection((member.host, STORE), timeout=3) as conn:
                conn.sendall((json.dumps(question) + "\n").encode())
                answer = conn.makefile().readline()
                return json.loads(answer) if answer else None
        except OSError:
            return None

    def put(self, at, key, value, outcome="done", within=10, **more):
        member = self.fleet.pick(at)[0]

        def holds():
            said = self.words(member, set=key, value=value, **more)
            return bool(said) and said.get("outcome") == outcome or str(said)
        self.eventually(within, "put", holds)

    def has(self, who, key, value=None, within=5, **more):
        """Each of `who` holds that value under the key; without one: holds none."""
        def holds():
            for member in self.fleet.pick(who):
                said = self.words(member, get=key, **more) if member.running() else {"value": value}
                if not said or said.get("value") != value:
                    return f"{member.name}: {said}"
            return True
        self.eventually(within, f"has {key}", holds)

    def promote(self, at, within=10):
        member = self.fleet.pick(at)[0]
        self.eventually(within, "promote", lambda: "promoted" in (self.words(member, promote=True) or {}) or "no")
        self.eventually(within, "leads", lambda: bool((self.rollout(member) or {}).get("leads")) or "it leads not")

    def old_store(self, who, **values):
        """What a store of an earlier version left in the folder of `who`, its primary."""
        def sealed(value):
            text = json.dumps(value, separators=(",", ":"))
            return f"{hashlib.sha256(text.encode()).hexdigest()[:16]} {text}\n"
        for member in self.fleet.pick(who):
            folder = os.path.join(member.folder, "store")
            os.makedirs(folder, exist_ok=True)
            with open(os.path.join(folder, "log"), "w", encoding="utf-8") as out:
                for seq, (key, value) in enumerate(values.items(), 1):
                    out.write(sealed({"seq": seq, "epoch": 1, "version": seq, "key": key, "value": value}))

    def purge_by(self, at, words, within=10):
        """`sumackeel purge` at a proxy. A copy filled while the call goes on may be of before or after it, so only what is
        older than the call counts as old."""
        self.purged_at = time.time()
        self.command(at, ["purge", *words], 0, "purge ")

    def registry_storm(self, seconds, least, callers=4):
        """Callers read one key surely and set it only if it still has that version, through any member, while members
        fail by chance. Versions are the order: the history must be that of one register."""
        chance, lock = random.Random(self.fleet.seed), threading.Lock()
        end, history = time.monotonic() + seconds, []

        def caller(number):
            turn = 0
            while time.monotonic() < end:
                running = [member for member in self.fleet.all if member.running()] or self.fleet.all
                with lock:
                    member = chance.choice(running)
                began = time.monotonic()
                said = self.words(member, get="fleet/x", sure=True)
                if not said or "version" not in said:
                    continue
                history.append(("get", began, time.monotonic(), said["version"], said.get("value"), None))
                turn, value = turn + 1, f"{number}-{turn}"
                began = time.monotonic()
                done = self.words(member, set="fleet/x", value=value, version=said["version"])
                if done and done.get("outcome") == "done":
                    history.append(("set", began, time.monotonic(), done["version"], value, said["version"]))
        workers = [threading.Thread(target=caller, args=(number,)) for number in range(callers)]
        workers.append(threading.Thread(target=self.faults, args=(seconds, chance, lock)))
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()
        self.one_register(history)
        sets = sum(1 for one in history if one[0] == "set")
        print(f"{sets} sets and {len(history) - sets} sure reads in one order")
        if sets < least:
            raise Failed(f"only {sets} sets went through")

    @staticmethod
    def one_register(history):
        """Each version is set once; a set stands right behind what it expected, but for sets that nobody was told of; and
        whatever began after another had ended sees it or what came later."""
        sets = sorted(one for one in ((version, expected, value) for what, _, _, version, value, expected in history
                                      if what == "set"))
        for (version, _, _), (later, expected, _) in zip(sets, sets[1:]):
            if version == later or expected < version:
                raise Failed(f"versions {version} and {later}, which expected {expected}")
        values = {version: value for version, _, value in sets}
        newest, ended = 0, sorted((done, version) for _, _, done, version, _, _ in history)
        place = 0
        for what, began, _, version, value, _ in sorted(history, key=lambda one: one[1]):
            while place < len(ended) and ended[place][0] < began:
                newest, place = max(newest, ended[place][1]), place + 1
            if version < newest or (what == "set" and version == newest):
                raise Failed(f"{what} of version {version} began after version {newest} was seen")
            if value is not None and values.get(version, value) != value:
                raise Failed(f"version {version} was {values[version]} and is {value}")

    # A loss of power.
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
        """What each says that it kept: bans, drain, set_aside as a number."""
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
        self.eventually(within, "kept", holds)

    def load(self, box, most, least=1):
        """Fills that came to a hub or the origin since the power returned: at most so many in any second."""
        found = self.fleet.copies.most_in_a_second(box, self.on_at)
        print(f"{box}: {found} fills in the worst second")
        if not least <= found <= most:
            raise Failed(f"{box}: {found} fills in a second, {least} to {most} wanted")

    def discovery(self, up, who="all"):
        indices = [member.index for member in self.fleet.pick(who)]
        (self.fleet.logs.bring_back if up else self.fleet.logs.take_away)(indices)

    def purge(self, only=None):
        """All objects of the clients' group, told to all or to one member alone."""
        self.purged_at = time.time()
        self.fleet.logs.tell({"invalidate": {"bucket": 17, "time": int(self.purged_at * 1000)}}, only)

    def listed(self, box, state):
        self.fleet.logs.tell({"fleet": {"seq": 100 + len(self.fleet.logs.events[0]), "whole": False,
                                        "hosts": self.fleet.hosts(state, [box])}})

    def empty_list(self):
        self.fleet.logs.tell({"fleet": {"seq": 90, "whole": True, "hosts": []}})

    def whole_list(self):
        self.fleet.logs.tell({"fleet": {"seq": 95, "whole": True, "hosts": self.fleet.hosts()}})

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

    def many_calls(self, at, box, times):
        """So many leaves asked for and given back, one after another: that many entries of the log, twice."""
        member = self.fleet.pick(at)[0]
        for _ in range(times):
            for way in ("down", "up"):
                if ops_call(member.ops_port, "POST", f"/ops/pop-caches/{way}/{box}", host=member.host, bound=2) != 200:
                    raise Failed(f"{way} {box} at {at} was not granted")

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

    def rules(self, who="all", **wanted):
        """Another operator's file for each of `who`: started anew with it, one after another."""
        self.fleet.agreed.update(wanted)
        for member in self.fleet.pick(who):
            self.end(member.index)
            self.start(member.index)

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


def never(fleet, rules):
    """Rules "SEER sees MEMBER STATE", each with * for any: no log may hold such a change."""
    for rule in rules:
        seer, _, member, state = rule.split()
        for one in fleet.all:
            if not os.path.exists(one.log):
                continue
            for who, whom, what in one.seen_changes():
                if seer in ("*", who) and member in ("*", whom) and what == state:
                    raise Failed(f"never '{rule}': {who} saw {whom} {what}")
