"""Harness: one real process in front of emulated pop caches, with failing library calls (calls.cpp, preloaded), and clients
that count the outcome of each request. Shared by faults_test.py and soak.py."""
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "daemon"))
from wire import BOUND_S, alive_good, cache_box, dispatch, listening, ops_call, reply, reserved_port, settings_for  # noqa: E402

SERVED, REFUSED, FAILED = 0, 1, 2  # indexes of an outcome in a wire response
PAUSE_AFTER_REFUSAL_S = 0.1


class Failure(Exception):
    """A required condition doesn't hold."""


def want(holds, text):
    if not holds:
        raise Failure(text)


def run_story(stories):
    """Runs the scenario named by the third argument; the first two are the program and the preloaded library."""
    try:
        stories[sys.argv[3]](sys.argv[1], sys.argv[2])
    except Failure as why:
        print(f"FAIL: {why}\n0 passed, 1 failed")
        sys.exit(1)
    print("1 passed, 0 failed")


class Boxes:
    """Emulated pop caches, parent and origin on one address; `seen` holds (when, request, fields) of each attempt."""

    def __init__(self, delay=0, once=False, content=b"ok"):
        self.listener, self.served, self.seen = listening(), [0], []
        self.at = "127.0.0.1:%d" % self.listener.getsockname()[1]
        what = (self.listener, self.served, self.see, delay, once, content)
        threading.Thread(target=cache_box, args=what, daemon=True).start()

    def see(self, request, fields):
        self.seen.append((time.monotonic(), request, fields))


class Proxy:
    """A process of the program. `faults` are rules of calls.cpp; their times are relative to the process start."""

    def __init__(self, program, library, boxes_at, faults="", seed=1, under="", change=None, env=None, operator="",
                 folder=None, log_level="info", log_to=None, inherited=None):
        """`under`: subdirectory of the process's directory to whose files the faults apply. `folder`: directory of an earlier
        process. `log_to`: descriptor for the log instead of a file. `inherited`: listening socket passed by the platform."""
        self.folder = folder or tempfile.TemporaryDirectory(prefix="sumackeel-faults-")
        self.reserved = [reserved_port(), reserved_port()]
        self.ops = self.reserved[0].getsockname()[1]
        self.port = (inherited or self.reserved[1]).getsockname()[1]
        settings = settings_for("n0", f"127.0.0.1:{self.port}", lambda _: boxes_at)
        if change:
            change(settings)
        self.config = os.path.join(self.folder.name, "config.json")
        self.write(settings)
        self.log = os.path.join(self.folder.name, f"log-{self.ops}")
        self.settings = settings
        options = os.environ.get("ASAN_OPTIONS", "")
        environment = dict(os.environ, LD_PRELOAD=library, FAULTS=faults, FAULTS_SEED=str(seed),
                           FAULTS_UNDER=os.path.join(self.folder.name, under), TMPDIR=self.folder.name,
                           GW_OPS=f"127.0.0.1:{self.ops}", ASAN_OPTIONS=options + ":verify_asan_link_order=0")
        environment.update(env or {})
        if inherited:
            environment["GW_INHERITED_FD"] = str(inherited.fileno())
        command = [program, "serve", "--config", self.config, "--log-level", log_level]
        if operator:
            with open(os.path.join(self.folder.name, "operator.toml"), "w", encoding="utf-8") as out:
                out.write(operator)
            command += ["--operator", os.path.join(self.folder.name, "operator.toml")]
        self.began = time.monotonic()
        with open(self.log, "w", encoding="utf-8") as err:
            self.process = subprocess.Popen(command, stderr=log_to or err, stdout=err, env=environment,
                                            pass_fds=[inherited.fileno()] if inherited else [])

    def write(self, settings):
        with open(self.config, "w", encoding="utf-8") as out:
            json.dump(settings, out)

    def since_start(self):
        return time.monotonic() - self.began

    def wait_until(self, second):
        time.sleep(max(0.0, second - self.since_start()))

    def ready(self, within=BOUND_S):
        end = time.monotonic() + within
        while not alive_good(self.port):
            if time.monotonic() > end or self.process.poll() is not None:
                raise Failure(f"not ready: status {self.process.poll()}: {self.said()[-300:]}")
            time.sleep(0.02)

    def said(self):
        with open(self.log, encoding="utf-8") as lines:
            return lines.read()

    def cpu_seconds(self):
        with open(f"/proc/{self.process.pid}/stat", encoding="utf-8") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def call(self, path, method="POST"):
        """Makes an admin API call; returns its status and body."""
        body = []
        return ops_call(self.ops, method, path, body), "".join(body)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def end(self, keep_folder=False):
        """Kills the process if it still runs; one that exited by itself with a status other than 0 has crashed."""
        status = self.process.poll()
        if status is None:
            self.process.kill()
            self.process.wait()
        said = self.said()
        if not keep_folder:
            self.folder.cleanup()
        if status not in (None, 0, -signal.SIGTERM) or "ERROR: AddressSanitizer" in said or "runtime error:" in said:
            raise Failure(f"ended with {status}: {said[-2000:]}")


def bans_of(proxy):
    return proxy.call("/ops/stats", "GET")[1].split("gw_pop_caches_down ")[1].split()[0]


def keep_ban(proxy):
    """Bans a pop cache and waits until that is on disk: a successful reply that says it isn't stored yet guarantees nothing."""
    status, said = proxy.call("/ops/pop-caches/down/s-a")
    want(status == 200, f"the ban was refused: {said!r}")
    end = time.monotonic() + BOUND_S
    while "not kept" in said and '"fault":""' not in proxy.call("/ops/recovery", "GET")[1]:
        want(time.monotonic() < end, f"the ban is not kept: {said!r}")
        time.sleep(0.05)
    if "not kept" in said:
        print(f"a slow disk: {said!r}")


class Talking:
    """A directory and an operator file for a process with [peers] and [recovery]."""

    def __init__(self):
        self.reserved = reserved_port()
        self.folder = tempfile.TemporaryDirectory(prefix="sumackeel-faults-")
        with open(os.path.join(self.folder.name, "key"), "w", encoding="utf-8") as out:
            out.write("a key of this test alone\n")
        self.operator = (f'[peers]\ngroup = "school"\nname = "n0"\nlisten = "127.0.0.1:{self.reserved.getsockname()[1]}"\n'
                         'key = "key"\nfolder = "state"\n'
                         '[recovery]\nfolder = "kept"\nask_s = 1\nsettle_s = 1\nprime_s = 1\n')

    def begin(self, program, library, boxes, faults="", under=""):
        return Proxy(program, library, boxes.at, faults, under=under, folder=self.folder, operator=self.operator)

    def start(self, program, library, boxes, faults="", under=""):
        proxy = self.begin(program, library, boxes, faults, under)
        proxy.ready(30)
        return proxy


class Client(threading.Thread):
    """Sends requests without pause, one at a time; with `fresh` each on a new connection."""
    numbers = iter(range(1, 1 << 40))
    lock = threading.Lock()

    def __init__(self, port, fresh, kind=b"sheet", pause=PAUSE_AFTER_REFUSAL_S, until_first=False):
        super().__init__(daemon=True)
        self.until_first = until_first  # sends only one request
        self.port, self.fresh, self.kind, self.pause = port, fresh, kind, pause
        self.going, self.answers, self.lost, self.away = True, [], [], 0
        self.asked = {}  # time at which each request was written

    def next_id(self):
        with Client.lock:
            return next(Client.numbers)

    def run(self):
        conn = sequence = None
        while self.going:
            number = self.next_id()
            written = False
            began = time.monotonic()
            try:
                if conn is None:
                    conn, sequence = socket.create_connection(("127.0.0.1", self.port), timeout=BOUND_S), 0
                sequence += 1
                ident = b"%016x" % (0x5a0000000000 + number)
                conn.sendall(dispatch(sequence, ident, b"%016x" % (number * 7919 % 40), self.kind))
                self.asked[ident.decode()] = began
                written = True
                place = reply(conn)[1]
                self.answers.append((began, time.monotonic() - began, place))
                if self.until_first:
                    break
                if place != SERVED:
                    time.sleep(self.pause)
            except (OSError, ConnectionError) as why:
                if written:
                    self.lost.append((began, sequence, repr(why)))
                else:
                    self.away += 1
                    time.sleep(0.01)
                if conn:
                    conn.close()
                conn = None
                continue
            if self.fresh:
                conn.close()
                conn = None
        if conn:
            conn.close()


class Crowd:
    """Clients of both kinds, and the combined outcomes of their requests."""

    def __init__(self, port, count=8, **more):
        self.all = [Client(port, fresh=number % 2 == 0, **more) for number in range(count)]
        for client in self.all:
            client.start()

    def join(self):
        for client in self.all:
            client.join(BOUND_S)

    def stop(self):
        for client in self.all:
            client.going = False
        for client in self.all:
            client.join(BOUND_S)

    def count(self, place, since=0.0, until=float("inf")):
        return sum(1 for client in self.all for when, _, got in client.answers if got == place and since <= when < until)

    def lost(self):
        return [one for client in self.all for one in client.lost]

    def told(self):
        return (f"{self.count(SERVED)} served, {self.count(REFUSED)} refused, {self.count(FAILED)} failed, "
                f"{len(self.lost())} lost")
