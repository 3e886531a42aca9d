"""Stand-ins and processes for the cases of the second review.

Everything listens on loopback addresses: each run takes a /24 of 127.0.0.0/8 that no other run holds. The stand-ins keep
to the protocol pages: pop caches hold copies, respect `accept`, fill from the source that a request names and drop purged
copies by themselves; the change log tells numbered events; clients speak Thrift or HTTP.
"""
import atexit
import json
import os
import secrets
import selectors
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
LONGEST_RUN_S = 115
CLIENTS, OPS, PEERS, VOTES, STORE, SIGNED = 9000, 9001, 9002, 9003, 9004, 9005
SERVED, REFUSED, FAILED = "served", "refused", "failed"


class CannotRun(Exception):
    """The case could not be played, which says nothing of the rule."""


class Record:
    """record.txt in the folder of the case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock, self.began = threading.Lock(), time.time()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.time() - self.began:9.3f} {text}\n")
            self.file.flush()


class Case:
    """A run of one case: its record, addresses, folder and processes. All of them end with it."""

    def __init__(self, script):
        self.folder = os.path.dirname(os.path.abspath(script))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(self.folder)
        self.net, self.guard = own_network()
        self.scratch = tempfile.TemporaryDirectory(prefix="review-case-")
        self.processes = []
        atexit.register(self.end)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: sys.exit(2))
        watchdog = threading.Timer(LONGEST_RUN_S, self.too_long)
        watchdog.daemon = True
        watchdog.start()
        self.record(f"case: trouble={'on' if self.trouble else 'off'} network={self.net}.0/24")

    def too_long(self):
        self.record("could not run: over the time limit")
        self.end()
        os._exit(2)

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.processes = []

    def address(self, host, port=0):
        """A free address of this run's network; with port 0 the system picks the port."""
        return f"{self.net}.{host}", port

    def run(self, play):
        """Plays the case; `play` returns the lines of what was broken. Never returns."""
        try:
            broken = play(self)
        except Exception as reason:  # whatever it was: the case could not run
            self.record(f"could not run: {type(reason).__name__}: {reason}")
            print(f"could not run: {type(reason).__name__}: {reason}", file=sys.stderr)
            self.end()
            sys.exit(2)
        for line in broken:
            self.record(f"BROKEN: {line}")
            print(f"BROKEN: {line}")
        verdict = "broken" if broken else "held"
        self.record(f"verdict: {verdict}")
        print(f"verdict: {verdict}")
        self.end()
        sys.exit(1 if broken else 0)


def own_network():
    for turn in range(2000):
        number = (os.getpid() * 31 + 7919 * turn) % 62000
        net = f"127.{1 + number // 250}.{1 + number % 250}"
        guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            guard.bind((f"{net}.254", 9099))
            return net, guard
        except OSError:
            guard.close()
    raise CannotRun("no free loopback network")


def run_command():
    """The command of the deploy file that starts one proxy."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
        return tomllib.load(file)["run"]


def program():
    return run_command().replace("exec ", "", 1).split()[0]


def keys_file(folder):
    """A JWK set with fresh keys: one to sign links, one for students' tokens, one for the student's name in a link."""
    keys = [{"kty": "oct", "kid": kid, "alg": alg, "purpose": purpose, "k": secrets.token_urlsafe(32)}
            for kid, alg, purpose in (("link-1", "HS256", "link"), ("student-1", "HS256", "student"),
                                      ("subject-1", "dir", "subject"))]
    with open(os.path.join(folder, "keys.json"), "w", encoding="utf-8") as out:
        json.dump({"keys": keys}, out)


def wait_until(holds, within, what):
    end = time.monotonic() + within
    while not holds():
        if time.monotonic() > end:
            raise CannotRun(f"not within {within} s: {what}")
        time.sleep(0.02)


def listen_at(address, backlog=256):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(backlog)
    return listener


def text_of(address):
    return "%s:%d" % address


# ---- Pop caches, parent, origin ----

class Site:
    """Pop caches, a parent and an origin that hold copies. `asked` has one entry for each request that arrived."""

    def __init__(self, case, names=("s-a", "s-b", "s-c"), purge_done_s=6.0):
        self.case, self.lock = case, threading.Lock()
        self.purge_done_s = purge_done_s
        self.kinds = {name: "small" for name in names} | {"s-parent": "parent", "s-origin": "origin"}
        self.held = {name: {} for name in self.kinds}  # (item, chunk): Unix seconds at which the origin gave it out
        self.purges = []  # (Unix seconds, item or None)
        self.asked, self.runs = [], []
        self.connections = {name: [] for name in self.kinds}
        self.accepted = {name: 0 for name in self.kinds}
        self.listeners, self.at, self.paused = {}, {}, set()
        for number, name in enumerate(self.kinds):
            self.listeners[name] = listen_at(case.address(100 + number, 9100))
            self.at[name] = text_of(self.listeners[name].getsockname())
            threading.Thread(target=self.accept, args=(name,), daemon=True).start()

    def hosts(self):
        return [{"host": name, "dial": self.at[name], "site": "edge-1" if kind == "small" else "coast", "class": kind,
                 "block": number, "health": "SERVING", "share": 20 if kind != "small" else 8, "born_ms": 0}
                for number, (name, kind) in enumerate(self.kinds.items())]

    def accept(self, name):
        while True:
            if name in self.paused:
                time.sleep(0.002)
                continue
            ready = selectors.DefaultSelector()
            ready.register(self.listeners[name], selectors.EVENT_READ)
            if not ready.select(0.02) or name in self.paused:
                ready.close()
                continue
            ready.close()
            try:
                conn, _ = self.listeners[name].accept()
            except OSError:
                return
            self.accepted[name] += 1
            self.connections[name].append(conn)
            threading.Thread(target=self.serve, args=(conn, name), daemon=True).start()

    def serve(self, conn, name):
        try:
            with conn:
                buffer = b""
                while True:
                    while b"\r\n" not in buffer:
                        if not (more := conn.recv(65536)):
                            return
                        buffer += more
                        came = time.time()
                    line, buffer = buffer.split(b"\r\n", 1)
                    words = line.decode().split()
                    if words and words[0] == "HELO":
                        conn.sendall(f"{words[1]} FIT - 0\r\n\r\n".encode())
                    if not words or words[0] != "REQ":
                        continue
                    length = int(words[3]) + 2
                    while len(buffer) < length:
                        if not (more := conn.recv(65536)):
                            return
                        buffer += more
                    body, buffer = buffer[:length - 2], buffer[length:]
                    fields = {} if words[2] == "-" else dict(item.split("=", 1) for item in words[2].split(","))
                    conn.sendall(self.answer(name, words[1], fields, body, came))
        except (ConnectionError, OSError):
            pass

    def answer(self, name, request, fields, body, came):
        with self.lock:
            now = time.time()
            entry = {"at": came, "cache": name, "id": request, "fields": fields, "body": body.decode(errors="replace")}
            self.asked.append(entry)
            if fields["cls"] == "enrol":
                if name != "s-origin" and fields.get("parent") is None:
                    word = "LACK"
                else:
                    word, dated, tell = "DONE", now, "pulled_far"
                    self.runs.append(entry)
            else:
                key = (fields.get("item"), fields.get("chunk", "0"))
                limit = float(fields.get("accept", 0)) / 1000
                fresh = 8 if fields["cls"] == "sheet" else 0
                age = limit or fresh
                dated, tell = self.copy(name, key, now - age if age else 0, fields.get("parent"), now)
                word = "LACK" if dated is None else "DONE"
            if word == "LACK":
                entry["answer"] = "LACK"
                text = f"{request} LACK - 0\r\n\r\n"
            else:
                entry["answer"], entry["dated"] = "DONE", dated
                stamp = int(dated * 1000)
                content = f"{fields.get('item', '')}/{fields.get('chunk', '')} of {stamp}"
                text = (f"{request} DONE digest=d{stamp},dated={stamp},tell={tell},"
                        f"meter=utilization:0.1;outstanding:1;x0:0.5;x1:0.1 {len(content)}\r\n{content}\r\n")
        self.case.record(f"{name}: got {request} {json.dumps(fields)} answered {text.splitlines()[0]}")
        return text.encode()

    def copy(self, name, key, oldest, source, now):
        """The date of the copy that answers, and the note; (None, "") for a miss."""
        if name == "s-origin":
            return now, "local"
        held = self.held[name].get(key, 0)
        if any(held < at and now >= at + self.purge_done_s and item in (None, key[0]) for at, item in self.purges):
            held = 0  # dropped by itself, within the time of the settings
        if held and held >= oldest:
            return held, "local"
        if not source:
            return None, ""
        got = now if source == "s-origin" else self.copy(source, key, oldest, "s-origin", now)[0]
        self.held[name][key] = got
        return got, "pulled"

    def requests(self, since=0.0, cls=None):
        with self.lock:
            return [one for one in self.asked if one["at"] >= since and cls in (None, one["fields"]["cls"])]


# ---- The change log ----

class ChangeLog:
    """Numbered events as server-sent events, a comment each second; one address for each proxy. `silence(name)` keeps that
    proxy's open connection open and tells it nothing more, and new ones get no answer either."""

    def __init__(self, case, names, hosts):
        self.case, self.lock, self.events = case, threading.Lock(), []
        self.conns, self.silent, self.at = {name: [] for name in names}, set(), {}
        self.listeners, self.answers_after_s, self.calls = {}, 0.0, []  # how long a call waits for its answer
        for number, name in enumerate(names):
            listener = listen_at(case.address(50 + number, 4222))
            self.at[name], self.listeners[name] = text_of(listener.getsockname()), listener
            threading.Thread(target=self.accept, args=(listener, name), daemon=True).start()
        self.tell({"fleet": {"seq": 1, "whole": True, "hosts": hosts}})
        threading.Thread(target=self.beat, daemon=True).start()

    def begin_anew(self, hosts):
        """Numbers from 1 again, as at the start of an edge proxy: the first event has the list of now."""
        with self.lock:
            self.events = []
        self.tell({"fleet": {"seq": 1, "whole": True, "hosts": hosts}})

    def known(self):
        return {"seq": len(self.events), "results": [event for event, _ in self.events]}

    def accept(self, listener, name):
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self.follow, args=(conn, name), daemon=True).start()

    def follow(self, conn, name):
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                if not (more := conn.recv(4096)):
                    return
                head += more
            self.calls.append((time.time(), name))
            if self.answers_after_s:
                time.sleep(self.answers_after_s)
            with self.lock:
                self.conns[name].append([conn, int(head.split(b"Last-Event-ID:")[1].split(b"\r\n")[0]), False])
                self.catch_up(name)
        except OSError:
            pass

    def catch_up(self, name, comment=False):
        if name in self.silent:
            return
        for entry in list(self.conns[name]):
            conn, behind, begun = entry
            text = b"" if begun else b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n"
            text += b"".join(line for event, line in self.events if event["seq"] > behind)
            try:
                conn.sendall(text + (b":\n\n" if comment else b""))
                entry[1], entry[2] = max(behind, len(self.events)), True
            except OSError:
                self.conns[name].remove(entry)

    def beat(self):
        while True:
            time.sleep(1)
            with self.lock:
                for name in self.conns:
                    self.catch_up(name, comment=True)

    def tell(self, event):
        """Adds one event; when it returns it was written to each connection that is not silent."""
        with self.lock:
            event = {"seq": len(self.events) + 1, **event}
            self.events.append((event, f"id: {event['seq']}\ndata: {json.dumps(event)}\n\n".encode()))
            told = time.time()
            for name in self.conns:
                self.catch_up(name)
        self.case.record(f"change log: {json.dumps(event)[:200]} silent={sorted(self.silent)}")
        return told

    def purge(self, site, item):
        at = time.time()
        site.purges.append((at, item))
        return at, self.tell({"invalidate": {"object": item, "time": int(at * 1000)}})

    def move(self, name):
        """The log is at another address from now on and the numbers carry on. The old one takes no new connection, tells
        nothing more and closes the open ones after 1.5 s."""
        listener = listen_at(self.case.address(80, 4222))
        with self.lock:
            self.silent.add(name)
            self.conns[name + " moved"] = []
            self.at[name] = text_of(listener.getsockname())
            old = self.listeners[name]
        old.shutdown(socket.SHUT_RDWR)
        old.close()
        threading.Thread(target=self.accept, args=(listener, name + " moved"), daemon=True).start()

        def close():
            for conn, _, _ in self.conns[name]:
                try:
                    conn.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
            self.case.record(f"change log: the old address of {name} has closed its connections")

        later = threading.Timer(1.5, close)
        later.daemon = True
        later.start()
        self.case.record(f"change log: moved to {self.at[name]}")

    def silence(self, name):
        with self.lock:
            self.silent.add(name)
        self.case.record(f"change log: silent towards {name}, connections stay open")

    def speak(self, name):
        with self.lock:
            self.silent.discard(name)
            self.catch_up(name)
        self.case.record(f"change log: speaks to {name} again")


# ---- Proxies ----

def base_settings():
    return {
        "classes": [
            {"name": "video", "aim": 600000, "aim_stretch": 1.6, "give_up": 6000000, "late_value": 0.15, "points": 2,
             "semantics": "retryable"},
            {"name": "sheet", "aim": 300000, "aim_stretch": 2, "give_up": 3000000, "late_value": 0.2, "points": 1,
             "semantics": "retryable"},
            {"name": "enrol", "aim": 800000, "give_up": 3000000, "points": 3, "semantics": "fragile"}],
        "contract": {"answer_slack": 8000, "cold_share": 0.16, "drain_grace": 2000000, "overload_for": 1500000,
                     "tip_multiple": 4, "warm_after": 17000000},
        "discovery": "pushed",
        "family_info": {"cleared_within": 6000000, "count_by_zone": [0, 1], "direct": True, "good_for": [0, 8000000, 0],
                        "grace_for": [0, 0, 0], "joins": True, "notes_given": "all", "obey_after": 300000,
                        "origin_kind": 2, "pace_kb_per_s": 9100, "uncached": [False, False, True], "upper_kind": 1,
                        "zone_hub": [0, 0]},
        "instances": 1, "me": 0, "my_zone": "edge-1", "zones": ["coast", "edge-1"],
        "shapes": ["small", "parent", "origin"],
        "limits": {"cancel": True, "connect_timeout": 400000, "keepalive": 15000000, "most_held": 2000, "most_tries": 8,
                   "second_copies": True, "streams_per_conn": 100},
        "report": {"fields": ["utilization", "outstanding", "x0", "x1"], "via": "piggyback"},
        "weights": "nominal"}


class Proxy:
    """One process of the program, started by the command of the deploy file."""

    def __init__(self, case, index, site, log=None, settings=None, operator=None, name=None):
        self.case, self.index, self.name = case, index, name or f"n{index}"
        self.host = f"{case.net}.{index + 1}"
        self.folder = os.path.join(case.scratch.name, self.name)
        os.makedirs(os.path.join(self.folder, "tmp"))
        self.config, self.operator, self.process = os.path.join(self.folder, "config.json"), None, None
        self.inherited, self.ops_port = None, OPS
        self.site, self.settings = site, settings or base_settings()
        self.write_config(log)
        if operator is not None:
            self.operator = os.path.join(self.folder, "operator.toml")
            with open(self.operator, "w", encoding="utf-8") as out:
                out.write(operator)

    def write_config(self, log):
        """The platform's configuration, with what the change log holds now."""
        known = log.known() if log else {"seq": 1, "results": [
            {"seq": 1, "fleet": {"seq": 1, "whole": True, "hosts": self.site.hosts()}}]}
        with open(self.config, "w", encoding="utf-8") as out:
            json.dump({"name": self.name, "listen": f"{self.host}:{CLIENTS}", "ops": f"{self.host}:{OPS}",
                       "seed": f"{0x51ab3 + self.index:016x}", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                       "changelog": log.at[self.name] if log else "", "known": known,
                       "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000, "settings": self.settings}, out)

    def inherit(self, listener):
        """The platform holds the clients' listening socket and hands it to each process, as the descriptor that
        GW_INHERITED_FD names."""
        self.inherited = listener

    def start(self, ops_port=OPS):
        self.ops_port = ops_port
        command = run_command() + " serve"
        if self.operator:
            command += f" --operator {self.operator}"
        if os.environ.get("REVIEW_LOG_LEVEL"):
            command += f" --log-level {os.environ['REVIEW_LOG_LEVEL']}"
        environment = {key: value for key, value in os.environ.items() if not key.startswith("GW_")}
        environment |= {"GW_NAME": self.name, "GW_LISTEN": f"{self.host}:{CLIENTS}", "GW_CONFIG": self.config,
                        "GW_OPS": f"{self.host}:{ops_port}", "TMPDIR": os.path.join(self.folder, "tmp")}
        if self.inherited:
            environment["GW_INHERITED_FD"] = str(self.inherited.fileno())
        with open(os.path.join(self.folder, "log"), "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                            pass_fds=[self.inherited.fileno()] if self.inherited else [])
        self.case.processes.append(self.process)
        self.case.record(f"{self.name}: started pid={self.process.pid}")
        return self

    def said(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as log:
            return log.read()

    def wait_ready(self, within=20):
        def ready():
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}: {self.said()[-400:]}")
            return self.ops("GET", "/ops/readiness")[0] == 200
        wait_until(ready, within, f"{self.name} is ready")
        self.case.record(f"{self.name}: ready")

    def ops(self, method, path, timeout=3.0, record=False):
        """An operators' call: its status (0 where nobody answers) and body."""
        status, body = 0, ""
        try:
            with socket.create_connection((self.host, self.ops_port), timeout=timeout) as conn:
                conn.sendall(f"{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
                answer = b""
                while chunk := conn.recv(65536):
                    answer += chunk
            status, body = int(answer.split()[1]), answer.split(b"\r\n\r\n", 1)[1].decode()
        except (OSError, IndexError, ValueError):
            pass
        if record:
            self.case.record(f"operator at {self.name}: {method} {path} -> {status} {body.strip()!r}")
        return status, body

    def told(self, path):
        status, body = self.ops("GET", path)
        return json.loads(body) if status == 200 else {}

    def store(self, question, timeout=3.0):
        """A question to the store's address, as `sumackeel store` asks it."""
        with socket.create_connection((self.host, STORE), timeout=timeout) as conn:
            conn.sendall(json.dumps(question).encode() + b"\n")
            answer = b""
            while not answer.endswith(b"\n"):
                if not (more := conn.recv(65536)):
                    break
                answer += more
        answer = json.loads(answer)
        self.case.record(f"store at {self.name}: {json.dumps(question)} -> {json.dumps(answer)}")
        return answer

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.case.record(f"{self.name}: killed")


# ---- The platform's clients ----

def tstr(text):
    data = text.encode()
    return struct.pack(">I", len(data)) + data


class Client:
    """One connection of a client of the platform. Requests may be sent ahead; answers are read in any order."""
    number, lock = 0, threading.Lock()

    def __init__(self, proxy):
        self.proxy, self.case, self.seqid, self.sent = proxy, proxy.case, 0, {}
        self.conn = socket.create_connection((proxy.host, CLIENTS), timeout=10)
        self.conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, kind, subject, part=0, group=17, need=40, timeout_ms=3000):
        with Client.lock:
            Client.number += 1
            request = f"{(os.getpid() << 32) + Client.number:016x}"
        self.seqid += 1
        fields = {"kind": kind, "req": request, "timeout": str(timeout_ms), "subject": subject, "slice": str(part),
                  "set": str(group), "need": str(need)}
        body = struct.pack(">I", 0x80010001) + tstr("dispatch") + struct.pack(">I", self.seqid)
        body += struct.pack(">BHBBI", 13, 1, 11, 11, len(fields))
        body += b"".join(tstr(key) + tstr(value) for key, value in fields.items())
        body += struct.pack(">BH", 11, 2) + tstr("") + b"\0"
        self.conn.sendall(struct.pack(">I", len(body)) + body)
        self.sent[self.seqid] = request
        self.case.record(f"client at {self.proxy.name}: sent {request} {json.dumps(fields)}")
        return request

    def exactly(self, count):
        data = b""
        while len(data) < count:
            if not (more := self.conn.recv(count - len(data))):
                raise ConnectionError("closed in the middle of an answer")
            data += more
        return data

    def receive(self, timeout=10):
        """(request id, served/refused/failed, content) of the next answer."""
        self.conn.settimeout(timeout)
        frame = self.exactly(struct.unpack(">I", self.exactly(4))[0])
        name = struct.unpack(">I", frame[4:8])[0]
        at = 8 + name
        seqid = struct.unpack(">i", frame[at:at + 4])[0]
        place = struct.unpack(">h", frame[at + 5:at + 7])[0] if frame[at + 4] else 0
        how = (SERVED, REFUSED, FAILED)[place] if frame[3] == 2 and place in (0, 1, 2) else FAILED
        content = b""
        if how == SERVED:  # result 0 is struct Answer, whose field 1 is the body
            start = at + 7
            if frame[start] == 11:
                length = struct.unpack(">I", frame[start + 3:start + 7])[0]
                content = frame[start + 7:start + 7 + length]
        request = self.sent.pop(seqid, f"unknown {seqid}")
        self.case.record(f"client at {self.proxy.name}: answered {request} {how} {content!r}")
        return request, how, content

    def ask(self, kind, subject, **more):
        self.send(kind, subject, **more)
        return self.receive()

    def close(self):
        self.conn.close()


# ---- Links between proxies ----

class Link:
    """What leads from one proxy to another's port for calls and datagrams. Towards the callee the bytes of streams are `sent`,
    back to the caller `returned`. A cut holds what is on its way, as TCP does, and an answer can be lost."""

    def __init__(self, case, name, at, to):
        self.case, self.name, self.to, self.lock = case, name, to, threading.Lock()
        self.hold_sent = False  # a cut: what was sent already comes when it ends, new connections and datagrams don't pass
        self.drop_answer = None  # called with the bytes of an answer; true: the answer is lost and its connection with it
        self.seen_sent = None  # called with the bytes of a question, before they are passed on
        self.held, self.dropped = [], 0
        self.at = text_of(at)
        listener = listen_at(at)
        threading.Thread(target=self.accept, args=(listener,), daemon=True).start()
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.bind(at)
        threading.Thread(target=self.pass_datagrams, daemon=True).start()

    def pass_datagrams(self):
        while True:
            data, _ = self.datagrams.recvfrom(65536)
            if self.hold_sent:
                continue
            try:
                self.datagrams.sendto(data, self.to)
            except OSError:
                pass

    def accept(self, listener):
        while True:
            near, _ = listener.accept()
            if self.hold_sent:
                near.close()
                continue
            try:
                far = socket.create_connection(self.to, timeout=2)
            except OSError:
                near.close()
                continue
            for one, other, way in ((near, far, "sent"), (far, near, "returned")):
                one.settimeout(None)
                threading.Thread(target=self.pump, args=(one, other, way), daemon=True).start()

    def pump(self, one, other, way):
        try:
            while data := one.recv(65536):
                if way == "sent":
                    if self.seen_sent:
                        self.seen_sent(data)
                    while self.hold_sent:
                        time.sleep(0.005)
                elif self.drop_answer and self.drop_answer(data):
                    self.dropped += 1
                    break
                other.sendall(data)
            if way == "sent":
                while self.hold_sent:
                    time.sleep(0.005)
                other.shutdown(socket.SHUT_WR)
                return
        except OSError:
            pass
        for end in (one, other):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()


class Fleet:
    """Three proxies with [peers], [agreed] and, if wanted, [store]. Each reaches each other one over a link of its own."""

    def __init__(self, case, site, store, members=3, log=None, agreed=None, settings=None, voters=3):
        self.case, self.all, self.links = case, [], {}
        shared = settings or base_settings()
        shared["instances"] = members
        shared["family_info"]["count_by_zone"] = [0, members]
        hosts = [f"{case.net}.{index + 1}" for index in range(members)]
        for a in range(members):
            for b in range(members):
                if a != b:
                    self.links[a, b] = Link(case, f"n{a}-n{b}", case.address(200, 9200 + a * members + b),
                                            (hosts[b], PEERS))
        votes = ", ".join(f'n{index} = "{hosts[index]}:{VOTES}"' for index in range(voters))
        for index in range(members):
            reach = ", ".join(f'"{hosts[b]}:{PEERS}" = "{self.links[index, b].at}"' for b in range(members) if b != index)
            seeds = ", ".join(f'"{self.links[index, b].at}"' for b in range(members) if b != index)
            text = (f'[peers]\ngroup = "school"\nlisten = "{hosts[index]}:{PEERS}"\nkey = "key"\nfolder = "peers"\n'
                    f"seeds = [{seeds}]\nreach = {{ {reach} }}\n"
                    f'[agreed]\nfolder = "agreed"\nvoters = {{ {votes} }}\n' + (agreed or ""))
            if store:
                text += f'[store]\nlisten = "{hosts[index]}:{STORE}"\n'
            proxy = Proxy(case, index, site, log=log, settings=dict(shared, me=index), operator=text)
            with open(os.path.join(proxy.folder, "key"), "w", encoding="utf-8") as out:
                out.write("a key that all members of this run share\n")
            self.all.append(proxy)

    def start(self):
        for proxy in self.all:
            proxy.start()
        for proxy in self.all:
            proxy.wait_ready(40)
        wait_until(lambda: self.leader() is not None, 20, "a leader that all name")
        return self

    def leader(self):
        names = {proxy.told("/ops/rollout").get("leader") for proxy in self.all}
        if len(names) != 1 or not (name := names.pop()):
            return None
        return next((proxy for proxy in self.all if proxy.name == name), None)
