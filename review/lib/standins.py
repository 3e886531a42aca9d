"""Stand-ins and helpers of the review's cases: pop caches, a change log, links between proxies, clients, processes.

Everything listens on loopback addresses of a network that the case picks for itself. The stand-ins keep to the protocol
page: a pop cache serves a copy only if it is young enough for `accept`, drops purged copies within its bound, and fills
from the source that the request names.
"""
import json
import os
import shutil
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
CLIENTS, OPS, PEERS, VOTES, STORE, SIGNED = 9000, 9001, 9002, 9003, 9004, 9005  # ports at each proxy's own address


class CannotRun(Exception):
    """The case could not be played: exit status 2."""


class Record:
    """What was sent, answered and run, one line each, with seconds since the start."""

    def __init__(self, folder):
        self.began, self.lock = time.time(), threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text, at=None):
        with self.lock:
            self.file.write(f"{(at or time.time()) - self.began:9.3f} {text}\n")
            self.file.flush()


def own_network():
    """The first three numbers of a loopback /24 that no other test holds, and the socket that holds it."""
    for turn in range(2000):
        number = (os.getpid() + 7919 * turn) % 50000
        net = f"127.{2 + number // 250}.{1 + number % 250}"
        guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            guard.bind((f"{net}.254", 9999))
            return net, guard
        except OSError:
            guard.close()
    raise CannotRun("no free loopback network")


def listen(address, serve, *args):
    """Serves each connection to `address` in a thread of its own; where it listens."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(256)

    def accept():
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=serve, args=(conn, *args), daemon=True).start()
    threading.Thread(target=accept, daemon=True).start()
    return listener


class PopCaches:
    """Pop caches, a parent and the origin. Each holds copies by object and part, dated by the origin."""

    FRESH_S = {"sheet": 8.0}  # by class; absent: until it is purged

    def __init__(self, net, record, names=("s-a", "s-b", "s-parent", "s-origin"), drop_after_s=5.9):
        self.record, self.lock, self.drop_after_s = record, threading.Lock(), drop_after_s
        self.held = {name: {} for name in names}
        self.runs = []  # of the class that must not run twice: (time, id, body)
        self.requests = []  # (time, name, id, fields)
        self.at = {}
        self.run_delay_s = 0.0
        self.listeners = []
        for number, name in enumerate(names):
            listener = listen((f"{net}.{100 + number}", 0), self.serve, name)
            self.listeners.append(listener)
            self.at[name] = "%s:%d" % listener.getsockname()

    def hosts(self, states=None, names=None):
        zone = {"s-parent": "coast", "s-origin": "coast"}
        kind = {"s-parent": "parent", "s-origin": "origin"}
        return [{"host": name, "dial": self.at[name], "site": zone.get(name, "edge-1"), "class": kind.get(name, "small"),
                 "block": 1, "health": (states or {}).get(name, "SERVING"), "share": 20, "born_ms": 0}
                for name in names or self.at]

    def purge_after(self, group_items, purged_at):
        """All caches drop copies from before `purged_at` of these objects, `drop_after_s` after the purge."""
        def drop():
            time.sleep(max(0, purged_at + self.drop_after_s - time.time()))
            with self.lock:
                for held in self.held.values():
                    for key in [key for key, dated in held.items() if key[0] in group_items and dated < purged_at]:
                        del held[key]
        threading.Thread(target=drop, daemon=True).start()

    def serve(self, conn, name):
        try:
            with conn, conn.makefile("rb") as lines:
                while line := lines.readline():
                    words = line.decode().split()
                    if words and words[0] == "HELO":
                        conn.sendall(f"{words[1]} FIT - 0\r\n\r\n".encode())
                    if not words or words[0] != "REQ":
                        continue
                    body = lines.read(int(words[3]) + 2)[:-2]
                    fields = dict(item.split("=", 1) for item in words[2].split(",") if "=" in item)
                    conn.sendall(self.answer(name, words[1], fields, body))
        except OSError:
            pass

    def answer(self, name, ident, fields, body):
        now = time.time()
        with self.lock:
            self.requests.append((now, name, ident, fields))
            if fields["cls"] == "enrol":
                if name != "s-origin" and not fields.get("parent"):
                    return f"{ident} LACK - 0\r\n\r\n".encode()
                self.runs.append((now, ident, body))
                self.record(f"run at the origin id={ident} body={body.decode()}", now)
        if fields["cls"] == "enrol":
            time.sleep(self.run_delay_s)
            return f"{ident} DONE digest=e1,dated={int(now * 1000)},tell=pulled_far 2\r\nok\r\n".encode()
        key = (fields.get("item"), fields.get("chunk"))
        accept = float(fields.get("accept", 0)) / 1000 or self.FRESH_S.get(fields["cls"], 0)
        with self.lock:
            dated, tell = self.copy(name, key, now - accept if accept > 0 else 0, fields.get("parent"), now)
        if dated is None:
            return f"{ident} LACK - 0\r\n\r\n".encode()
        content = f"object {key[0]} dated {int(dated * 1000)}".encode()
        self.record(f"cache {name} id={ident} object={key[0]} accept={fields.get('accept', '-')} "
                    f"dated={dated - self.record.began:.3f} tell={tell}", now)
        head = f"{ident} DONE digest=d{int(dated * 1000)},dated={int(dated * 1000)},tell={tell} {len(content)}\r\n"
        return head.encode() + content + b"\r\n"

    def copy(self, name, key, oldest, source, now):
        if name == "s-origin":
            return now, "local"
        held = self.held[name].get(key)
        if held and held >= oldest:
            return held, "local"
        if name == "s-parent":
            source = "s-origin"
        if not source or source == name:
            return None, ""
        dated, _ = self.copy(source, key, oldest, "s-origin", now)
        self.held[name][key] = dated
        return dated, "pulled"


class ChangeLog:
    """The change log of one proxy: numbered server-sent events, a comment each second."""

    def __init__(self, address):
        self.lock, self.events, self.conns = threading.Lock(), [], []
        self.asked = []  # what each connection asked to continue behind
        self.listener = listen(address, self.follow)
        self.at = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.beat, daemon=True).start()

    def follow(self, conn):
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                more = conn.recv(4096)
                if not more:
                    return conn.close()
                head += more
            with self.lock:
                behind = int(head.lower().split(b"last-event-id:")[1].split(b"\r\n")[0])
                self.asked.append(behind)
                conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n")
                for seq, text in self.events:
                    if seq > behind:
                        conn.sendall(text)
                self.conns.append(conn)
        except OSError:
            conn.close()
        return None

    def beat(self):
        while True:
            time.sleep(1)
            with self.lock:
                self.write(b":\n\n")

    def write(self, text):
        for conn in list(self.conns):
            try:
                conn.sendall(text)
            except OSError:
                self.conns.remove(conn)

    def tell(self, event):
        """Adds an event; its number."""
        with self.lock:
            seq = len(self.events) + 1
            text = f"id: {seq}\ndata: {json.dumps({'seq': seq, **event})}\n\n".encode()
            self.events.append((seq, text))
            self.write(text)
            return seq

    def begin_anew(self):
        """The log of a proxy that starts anew: its numbers begin with 1."""
        with self.lock:
            self.events = []
            for conn in self.conns:
                conn.close()
            self.conns = []


class Link:
    """One way between two proxies, datagrams and streams. While it is cut nothing passes: datagrams are lost, streams stay
    open and silent, as over a network that is cut. `delay_s` holds back what goes through it."""

    def __init__(self, at, to, cut, with_datagrams=True):
        self.cut, self.to, self.delay_s, self.back_delay_s = cut, to, 0.0, 0.0
        self.listener = listen(at, self.stream)
        if not with_datagrams:
            return
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.bind(at)
        threading.Thread(target=self.forward_datagrams, daemon=True).start()

    def forward_datagrams(self):
        while True:
            data, _ = self.datagrams.recvfrom(65536)
            if not self.cut():
                try:
                    self.datagrams.sendto(data, self.to)
                except OSError:
                    pass

    def wait_while_cut(self):
        while self.cut():
            time.sleep(0.005)

    def stream(self, near):
        self.wait_while_cut()
        try:
            far = socket.create_connection(self.to, timeout=5)
        except OSError:
            return near.close()
        far.settimeout(None)
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.pump, args=(near, far, lambda: self.delay_s), daemon=True).start()
        self.pump(far, near, lambda: self.back_delay_s)
        return None

    def pump(self, source, sink, delay):
        try:
            while data := source.recv(1 << 16):
                if delay() > 0:
                    time.sleep(delay())
                self.wait_while_cut()
                sink.sendall(data)
        except OSError:
            pass
        self.wait_while_cut()
        for sock, how in ((sink, socket.SHUT_WR), (source, socket.SHUT_RD)):
            try:
                sock.shutdown(how)
            except OSError:
                pass


class Proxy:
    """One process of the program, started with the deploy file's `run` command as the platform starts it."""

    def __init__(self, bench, index):
        self.bench, self.index, self.name = bench, index, f"n{index}"
        self.host = f"{bench.net}.{index + 1}"
        self.folder = os.path.join(bench.folder, self.name)
        os.makedirs(self.folder)
        self.process, self.starts, self.operator = None, 0, None
        self.config = None

    def path(self, name):
        return os.path.join(self.folder, name)

    def write_config(self, caches, changelog, known, instances=1, edit=None):
        with open(os.path.join(ROOT, "example", "config.json"), encoding="utf-8") as file:
            config = json.load(file)
        config.update({"name": self.name, "listen": f"{self.host}:{CLIENTS}", "changelog": changelog, "known": known,
                       "seed": f"{7919 + self.index + 101 * self.starts:016x}"})
        config["settings"]["instances"] = instances
        config["settings"]["me"] = self.index
        config["settings"]["family_info"]["count_by_zone"] = [0, instances]
        if edit:
            edit(config)
        self.config = config
        with open(self.path("config.json"), "w", encoding="utf-8") as out:
            json.dump(config, out)

    def write_operator(self, text):
        self.operator = self.path("operator.toml")
        with open(self.operator, "w", encoding="utf-8") as out:
            out.write(text)

    def start(self):
        self.starts += 1
        scratch = self.path(f"tmp{self.starts}")
        os.makedirs(scratch)
        env = dict(os.environ, GW_NAME=self.name, GW_LISTEN=f"{self.host}:{CLIENTS}", GW_CONFIG=self.path("config.json"),
                   GW_OPS=f"{self.host}:{OPS}", TMPDIR=scratch)
        env.pop("GW_INHERITED_FD", None)
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        if self.operator:
            command += f" serve --operator {self.operator}"
        with open(self.path("log"), "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log)
        self.bench.record(f"started {self.name}")

    def ready(self, within=25):
        end = time.monotonic() + within
        while call(self.host, "GET", "/ops/readiness")[0] != 200:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}: {self.tail()}")
            if time.monotonic() > end:
                raise CannotRun(f"{self.name} is not ready: {self.tail()}")
            time.sleep(0.05)
        self.bench.record(f"ready {self.name}")

    def tail(self):
        with open(self.path("log"), encoding="utf-8", errors="replace") as log:
            return " | ".join(log.read().splitlines()[-4:])

    def kill(self):
        self.bench.record(f"SIGKILL {self.name}")
        self.process.kill()
        self.process.wait()


def call(host, method, path, timeout=2.0):
    """Status and body of a call to the operators' address; status 0: no answer."""
    try:
        with socket.create_connection((host, OPS), timeout=timeout) as conn:
            conn.sendall(f"{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
            answer = b""
            while chunk := conn.recv(4096):
                answer += chunk
        return int(answer.split()[1]), answer.split(b"\r\n\r\n", 1)[1].decode()
    except (OSError, IndexError):
        return 0, ""


def tool(*words, timeout=20):
    """Runs one of the program's own commands: status and output."""
    done = subprocess.run([os.path.join(ROOT, "build", "sumackeel"), *words], capture_output=True, text=True,
                          timeout=timeout, check=False)
    return done.returncode, (done.stdout + done.stderr).strip()


class Bench:
    """A network, a folder, processes and their end."""

    def __init__(self, folder):
        self.net, self.guard = own_network()
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.proxies, self.trouble = [], os.environ.get("TROUBLE", "1") != "0"
        self.record(f"trouble={int(self.trouble)}")

    def add_proxy(self):
        self.proxies.append(Proxy(self, len(self.proxies)))
        return self.proxies[-1]

    def close(self):
        for proxy in self.proxies:
            if proxy.process and proxy.process.poll() is None:
                proxy.process.send_signal(signal.SIGKILL)
                proxy.process.wait()
        if os.environ.get("KEEP"):
            print(f"files are kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(folder, case):
    """Runs `case(bench)`, which returns the violations. Exit status: 0 the rule held, 1 it was broken, 2 not played."""
    bench = None
    try:
        bench = Bench(folder)
        violations = case(bench)
    except Exception as fault:  # whatever it is, the rule was not judged
        print(f"not played: {fault!r}")
        if bench:
            bench.record(f"not played: {fault!r}")
        sys.exit(2)
    finally:
        if bench:
            bench.close()
    for line in violations[:20]:
        bench.record(f"VIOLATION {line}")
    print(f"{len(violations)} violations" + "".join(f"\n  {line}" for line in violations[:5]))
    bench.record(f"violations={len(violations)}")
    sys.exit(1 if violations else 0)


class Client:
    """A client of the platform: Thrift, framed, strict binary protocol; one request at a time."""

    def __init__(self, proxy, record, tag):
        self.proxy, self.record, self.tag, self.number, self.conn, self.sequence = proxy, record, tag, 0, None, 0

    def ask(self, kind, item, group=17, timeout_ms=3000):
        """(outcome, body): served, refused, failed, or lost with the reason."""
        self.number += 1
        ident = f"{self.tag:04x}{self.number:012x}"
        fields = {"kind": kind, "req": ident, "timeout": str(timeout_ms), "subject": item, "slice": "0",
                  "set": str(group), "need": "40"}
        sent = time.time()
        try:
            if not self.conn:
                self.conn, self.sequence = socket.create_connection((self.proxy.host, CLIENTS), timeout=5), 0
            self.sequence += 1
            self.conn.sendall(call_frame(self.sequence, fields))
            outcome, body = read_answer(self.conn)
        except OSError as fault:
            outcome, body = "lost", str(fault).encode()
            if self.conn:
                self.conn.close()
            self.conn = None
        self.record(f"client of {self.proxy.name} id={ident} {kind} object={item} sent={sent - self.record.began:.3f} "
                    f"-> {outcome} {body.decode()}")
        return sent, outcome, body


def string(text):
    return struct.pack(">I", len(text)) + text


def call_frame(sequence, fields):
    body = struct.pack(">I", 0x80010001) + string(b"dispatch") + struct.pack(">i", sequence)
    body += struct.pack(">bhbbi", 13, 1, 11, 11, len(fields))
    for key, value in fields.items():
        body += string(key.encode()) + string(value.encode())
    body += struct.pack(">bh", 11, 2) + string(b"") + b"\0"
    return struct.pack(">I", len(body)) + body


def exactly(conn, count):
    data = b""
    while len(data) < count:
        more = conn.recv(count - len(data))
        if not more:
            raise ConnectionError("closed without an answer")
        data += more
    return data


def read_answer(conn):
    frame = exactly(conn, struct.unpack(">I", exactly(conn, 4))[0])
    place = 8 + struct.unpack(">I", frame[4:8])[0] + 4
    kind, field = struct.unpack(">bh", frame[place:place + 3])
    if kind != 12:
        return "failed", b""
    if field != 0:
        return {1: "refused"}.get(field, "failed"), b""
    kind, field = struct.unpack(">bh", frame[place + 3:place + 6])
    length = struct.unpack(">I", frame[place + 6:place + 10])[0]
    return "served", frame[place + 10:place + 10 + length]


class Redis:
    """A shared store with the few commands that one-time links need, in the Redis protocol. `empty` loses all keys."""

    def __init__(self, net, record):
        self.record, self.lock, self.keys = record, threading.Lock(), {}
        self.listener = listen((f"{net}.90", 0), self.serve)
        self.at = "%s:%d" % self.listener.getsockname()

    def empty(self):
        with self.lock:
            self.record(f"the shared store is emptied of {len(self.keys)} keys")
            self.keys.clear()

    def serve(self, conn):
        try:
            with conn, conn.makefile("rb") as lines:
                while line := lines.readline():
                    words = []
                    for _ in range(int(line[1:])):
                        length = int(lines.readline()[1:])
                        words.append(lines.read(length + 2)[:-2])
                    conn.sendall(self.answer(words))
        except OSError:
            pass

    def answer(self, words):
        verb, now = words[0].upper(), time.time()
        with self.lock:
            self.keys = {key: until for key, until in self.keys.items() if until > now}
            if verb == b"SET":
                options = [word.upper() for word in words[3:]]
                if b"NX" in options and words[1] in self.keys:
                    return b"$-1\r\n"
                ends = now + int(words[4 + options.index(b"PX")]) / 1000 if b"PX" in options else float("inf")
                self.keys[words[1]] = ends
                return b"+OK\r\n"
            if verb == b"DEL":
                return b":%d\r\n" % sum(self.keys.pop(key, None) is not None for key in words[1:])
            if verb == b"GET":
                return b"$1\r\n1\r\n" if words[1] in self.keys else b"$-1\r\n"
            if verb == b"PING":
                return b"+PONG\r\n"
        return b"-ERR unknown command\r\n"


SIGNED_FRONT = """
redis = "{redis}"
[signed_front]
listen = "{listen}"
scheme = "http"
host = "cache.example.org"
audience = "cache.example.org"
link_issuers = ["lessons"]
token_issuers = ["login"]
leeway_s = {leeway}
one_time = "redis"
keys = "{keys}"
"""


def write_keys(path):
    """A JWK set with fresh random keys."""
    import base64

    def secret():
        return base64.urlsafe_b64encode(os.urandom(32)).decode().rstrip("=")
    keys = [{"kty": "oct", "kid": "link-1", "alg": "HS256", "purpose": "link", "k": secret()},
            {"kty": "oct", "kid": "student-1", "alg": "HS256", "purpose": "student", "k": secret()},
            {"kty": "oct", "kid": "subject-1", "alg": "dir", "purpose": "subject", "k": secret()}]
    with open(path, "w", encoding="utf-8") as out:
        json.dump({"keys": keys}, out)


def sign(proxy, target, one_time, expires_in=600):
    """A signed link for one use and its student's token."""
    status, link = tool("sign-url", "--operator", proxy.operator, "--link-key", "link-1", "--subject-key", "subject-1",
                        "--student", "ana", "--one-time", one_time, "--expires-in", str(expires_in), target)
    status2, token = tool("sign-token", "--operator", proxy.operator, "--student-key", "student-1", "--student", "ana")
    if status or status2:
        raise CannotRun(f"signing failed: {link} {token}")
    return link, token


def post(proxy, link, token, body, record, note, timeout=6):
    """Sends a signed request once: the status, 0 without an answer."""
    path = "/" + link.split("://", 1)[1].split("/", 1)[1]
    head = (f"POST {path} HTTP/1.1\r\nHost: cache.example.org\r\nAuthorization: Bearer {token}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n")
    status, answer = 0, b""
    try:
        with socket.create_connection((proxy.host, SIGNED), timeout=timeout) as conn:
            conn.sendall(head.encode() + body)
            while chunk := conn.recv(4096):
                answer += chunk
        status = int(answer.split()[1])
    except (OSError, IndexError):
        pass
    record(f"client POST body={body.decode()} {note} -> {status} {answer.split(bytes(2 * [13, 10]), 1)[-1].decode()[:120]}")
    return status
