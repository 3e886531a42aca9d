#!/usr/bin/env python3
"""One recorded exchange for each wire of a real process, request and answer compared with data/exchanges.txt.

What differs from run to run by its nature (ports, times, names of folders, counters) is replaced by a fixed word before
the comparison; all else has to be the same to the byte. A change that only renames or reshapes leaves the record as it is.
Usage: wire_exchange_test.py SUMACKEEL ADAPTER [--record]
"""
import difflib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(HERE, "..", "daemon"), os.path.join(HERE, "..", "fleet")]
from harness import own_network  # noqa: E402
from wire import BOUND_S, be, cancel, dispatch, exactly, settings_for, tstr  # noqa: E402

RECORD = os.path.join(HERE, "data", "exchanges.txt")
CLIENTS, OPS, PEERS, VOTES, STORE, SIGNED = 9000, 9001, 9002, 9003, 9004, 9005
KEYS = {"keys": [{"kty": "oct", "kid": f"{use}-1", "alg": "dir" if use == "subject" else "HS256", "purpose": use,
                  "k": letter + 42 * "A"} for use, letter in (("link", "A"), ("student", "B"), ("subject", "C"))]}
# A stand-in pop cache's answers to a sheet, by what the request's id begins with; all else is served.
SERVED = "DONE digest=e1,dated=1764576000123,tell=pulled 2\r\nok"
CACHE_ANSWERS = {"a": SERVED, "b": "BROKE - 0\r\n", "c": "KEEP digest=e1,tell=local 0\r\n"}


class Transcript:
    def __init__(self):
        self.lines = []

    def part(self, title):
        self.lines += ["", f"== {title}"]

    def add(self, text):
        self.lines += text.splitlines() or [""]

    def text(self):
        return "\n".join(self.lines) + "\n"


def steady(text):
    """What is the same in each run."""
    text = re.sub(r"127\.\d+\.\d+\.(\d+)", r"127.X.X.\1", text)
    text = re.sub(r"127\.0\.0\.1:\d+", "127.0.0.1:PORT", text)
    text = re.sub(r"/tmp/[\w./-]+", "FOLDER", text)
    return re.sub(r"\b(limit|accept)=\d+", r"\1=MS", text)


def numbers_out(text):
    """The shape alone: each number is replaced."""
    return re.sub(r"(?<![\w.])-?\d+(\.\d+)?(e[-+]?\d+)?(?![\w])", "N", text)


def shape(value):
    """Of a JSON value: its keys in order with the kind of what they hold."""
    if isinstance(value, dict):
        return {key: shape(inner) for key, inner in value.items()}
    if isinstance(value, list):
        return [shape(value[0])] if value else []
    return value if isinstance(value, bool) else type(value).__name__


class Cache:
    """A stand-in pop cache that keeps what it was asked."""

    def __init__(self, host):
        self.listener = socket.socket()
        self.listener.bind((host, 0))
        self.listener.listen(64)
        self.at = "%s:%d" % self.listener.getsockname()
        self.asked = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        with conn, conn.makefile("rb") as lines:
            while line := lines.readline():
                words = line.decode().split()
                body = lines.read(int(words[3]) + 2) if words[0] == "REQ" else b""
                self.asked.append((line + body).decode())
                if words[0] == "REQ":
                    answer = CACHE_ANSWERS.get(words[1][0], SERVED) if "cls=sheet" in words[2] else SERVED
                    conn.sendall(f"{words[1]} {answer}\r\n".encode())


def until(holds, what):
    end = time.monotonic() + BOUND_S
    while not holds():
        if time.monotonic() > end:
            raise TimeoutError(what)
        time.sleep(0.02)


def http(address, text):
    """The whole answer to one request after which the connection ends."""
    with socket.create_connection(address, timeout=BOUND_S) as conn:
        conn.sendall(text.encode())
        answer = b""
        while chunk := conn.recv(65536):
            answer += chunk
        return answer.decode()


def platform(transcript, host, cache):
    transcript.part("platform: Thrift frames in hex, and what the pop cache was asked")
    with socket.create_connection((host, CLIENTS), timeout=BOUND_S) as conn:
        lesson = b"7f3a9c21e0b4d655"
        frames = [dispatch(1, b"a000000000000001", lesson), dispatch(2, b"c000000000000002", lesson),
                  dispatch(3, b"b000000000000003", lesson), dispatch(4, b"e000000000000004", b"00000000000000e1", kind=b"enrol"),
                  dispatch(5, b"a000000000000005", lesson, kind=b"unheard_of"), dispatch(6, b"a-6", lesson),
                  dispatch(7, b"a000000000000007", lesson, need=b"none")]
        for name in (b"alive", b"resign"):
            body = be(0x80010001, 4) + tstr(name) + be(6, 4) + be(2, 1) + be(1, 2) + be(1, 1) + be(0, 1)
            frames.append(be(len(body), 4) + body)
        for frame in frames:
            conn.sendall(frame)
            length = exactly(conn, 4)
            transcript.add("> " + frame.hex())
            transcript.add("< " + (length + exactly(conn, struct.unpack(">I", length)[0])).hex())
        conn.sendall(cancel(1))
    for asked in cache.asked:
        transcript.add(steady(repr(asked)))


def ops(transcript, host):
    transcript.part("operators' calls")
    for method, path in (("GET", "/ops/readiness"), ("POST", "/ops/readiness"), ("POST", "/ops/pop-caches/down/s-a"), ("POST", "/ops/pop-caches/down/none"),
                         ("POST", "/ops/pop-caches/up/s-a"), ("POST", "/ops/pop-caches/down/%%%"), ("GET", "/ops/nothing"),
                         ("POST", "/ops/drain/stop"), ("GET", "/ops/rollout"), ("GET", "/ops/group"), ("GET", "/ops/release"),
                         ("GET", "/ops/recovery"), ("GET", "/ops/rollout/explain/n0"), ("POST", "/ops/purge/object/17/7f3a"),
                         ("GET", "/ops/purge"), ("POST", "/ops/recovery/go/nowhere"), ("GET", "/ops/stats")):
        answer = http((host, OPS), f"{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n")
        head, body = answer.split("\r\n\r\n", 1)
        try:
            body = json.dumps(shape(json.loads(body)))
            head = re.sub(r"Content-Length: \d+", "Content-Length: N", head)
        except ValueError:
            if path == "/ops/stats":
                head, body = re.sub(r"Content-Length: \d+", "Content-Length: N", head), numbers_out(body)
        transcript.add(f"> {method} {path}")
        transcript.add(steady(f"< {head!r}\n{body.strip()}"))
    transcript.add("> not HTTP")
    transcript.add(repr(http((host, OPS), "\x01\x02 nothing\r\n\r\n")))


def store(transcript, host):
    transcript.part("store: a JSON object a line")
    with socket.create_connection((host, STORE), timeout=BOUND_S) as conn, conn.makefile() as answers:
        for question in ('{"set": "revoked/j-17", "value": "yes"}', '{"set": "key/k", "value": "perhaps"}',
                         '{"get": "revoked/j-17"}', '{"get": "revoked/j-17", "sure": true}', '{"get": "none"}',
                         '{"set": "fleet/a", "value": "1", "version": 9}', '{"list": "revoked/"}',
                         '{"remove": "revoked/j-17"}', '{"get": "revoked/j-17"}', "no JSON", "[]", '{"promote": true}'):
            conn.sendall(question.encode() + b"\n")
            answer = re.sub(r'"age_s":[0-9.e+-]+', '"age_s":S', answers.readline().strip())
            transcript.add(f"> {question}\n< {steady(re.sub(r'promoted.:[0-9]+', 'promoted:N', answer))}")


def signed(transcript, host, program, operator, cache):
    transcript.part("signed links")

    def made(*words):
        return subprocess.run([program, *words], capture_output=True, text=True, check=True).stdout.strip()
    token = made("sign-token", "--operator", operator, "--student-key", "student-1", "--student", "ana")
    other = made("sign-token", "--operator", operator, "--student-key", "student-1", "--student", "bea")

    def link(target, *more):
        full = made("sign-url", "--operator", operator, "--link-key", "link-1", "--subject-key", "subject-1", "--student", "ana",
                    *more, target)
        return "/" + full.split("/", 3)[3]
    video = link("/video/7f3a9c21e0b4d655/3?set=17&need=40")
    once = link("/enrol/00000000000000e1", "--one-time", "j-1")
    cache.asked.clear()
    for title, method, target, bearer, more in (
            ("served", "GET", video, token, ""), ("no token", "GET", video, "", ""), ("another's", "GET", video, other, ""),
            ("forged", "GET", video[:-4] + "AAAA", token, ""), ("no link", "GET", "/video/7f3a9c21e0b4d655/3", token, ""),
            ("no target", "GET", "/nothing", token, ""), ("wrong method", "PUT", video, token, ""),
            ("once", "POST", once, token, "Content-Length: 4\r\n"), ("twice", "POST", once, token, "Content-Length: 4\r\n"),
            ("same copy", "GET", video, token, 'If-None-Match: "e1"\r\n')):
        bearer = f"Authorization: Bearer {bearer}\r\n" if bearer else ""
        body = "four" if "Content-Length" in more else ""
        answer = http((host, SIGNED), f"{method} {target} HTTP/1.1\r\nHost: cache.example.org\r\nConnection: close\r\n"
                                      f"{bearer}{more}\r\n{body}")
        transcript.add(f"> {title}")
        transcript.add(re.sub(r"Date: [^\\]+", "Date: D", repr(answer)))
    for asked in cache.asked:
        transcript.add(steady(re.sub(r"REQ [\w-]+", "REQ ID", repr(asked))))


def record_log(folder, program, net):
    """Leaves a voter's folders as test data: records, a lease, and what its clean end writes."""
    home, host = os.path.join(folder, "recorded"), f"{net}.2"
    proc = start(home, program, host, "127.0.0.1:1", "", signed_front=False, recovery=False)
    until(lambda: proc.poll() is not None or stats_ready(host), "a start")
    with socket.create_connection((host, STORE), timeout=BOUND_S) as conn, conn.makefile() as answers:
        for question in ('{"set": "revoked/j-17", "value": "yes"}', '{"set": "key/k", "value": "off"}', '{"remove": "key/k"}'):
            conn.sendall(question.encode() + b"\n")
            print(answers.readline().strip())
    print(http((host, OPS), "POST /ops/pop-caches/down/s-a HTTP/1.1\r\nHost: ops\r\n\r\n"))
    end(proc)
    data = os.path.join(HERE, "data", "consensus_log")
    shutil.rmtree(data, ignore_errors=True)
    for name in ("agreed", "state"):
        shutil.copytree(os.path.join(home, name), os.path.join(data, name))


def stats_settled(host):
    return "gw_ready 1" in http((host, OPS), "GET /ops/stats HTTP/1.1\r\nHost: ops\r\n\r\n")


def from_stored_log(transcript, folder, program, net):
    """A voter starts from a log that version 0.3.0 left, with a snapshot and records behind it."""
    transcript.part("agreed log of version 0.3.0")
    data = os.path.join(HERE, "data", "consensus_log")
    if not os.path.isdir(data):
        return
    home = os.path.join(folder, "stored")
    shutil.copytree(data, home)
    host = f"{net}.2"
    proc = start(home, program, host, "127.0.0.1:1", "", signed_front=False, recovery=False)
    try:
        until(lambda: proc.poll() is not None or stats_ready(host), "a start from a stored log")
        with socket.create_connection((host, STORE), timeout=BOUND_S) as conn, conn.makefile() as answers:
            for question in (b'{"get": "revoked/j-17", "sure": true}\n', b'{"list": ""}\n'):
                conn.sendall(question)
                transcript.add(answers.readline().strip())
        rollout = http((host, OPS), "GET /ops/rollout HTTP/1.1\r\nHost: ops\r\n\r\n").split("\r\n\r\n", 1)[1]
        transcript.add(json.dumps([lease["member"] for lease in json.loads(rollout)["leases"]]))
    finally:
        end(proc)


def stats_ready(host):
    try:
        return stats_settled(host)
    except OSError:
        return False


def start(folder, program, host, cache_at, changes_at, signed_front=True, recovery=True):
    os.makedirs(os.path.join(folder, "tmp"), exist_ok=True)
    settings = settings_for("n0", f"{host}:{CLIENTS}", lambda _: cache_at)
    settings["changelog"] = changes_at
    with open(os.path.join(folder, "config.json"), "w", encoding="utf-8") as out:
        json.dump(settings, out)
    with open(os.path.join(folder, "keys.json"), "w", encoding="utf-8") as out:
        json.dump(KEYS, out)
    with open(os.path.join(folder, "key"), "w", encoding="utf-8") as out:
        out.write("a key that all members share\n")
    operator = os.path.join(folder, "operator.toml")
    with open(operator, "w", encoding="utf-8") as out:
        if signed_front:
            out.write(f'[signed_front]\nlisten = "{host}:{SIGNED}"\nscheme = "https"\nhost = "cache.example.org"\n'
                      'audience = "cache.example.org"\nlink_issuers = ["lessons"]\ntoken_issuers = ["school"]\n'
                      'one_time = "local"\nkeys = "keys.json"\n')
        out.write(f'[peers]\ngroup = "school"\nname = "n0"\nlisten = "{host}:{PEERS}"\nseeds = []\nkey = "key"\n'
                  f'folder = "state"\nperiod_ms = 200\nprobe_timeout_ms = 80\n'
                  f'[agreed]\nfolder = "agreed"\nelection_ms = 200\nvoters = {{ n0 = "{host}:{VOTES}" }}\n'
                  f'[store]\nlisten = "{host}:{STORE}"\nfolder = "store"\nname = "n0"\n')
        if recovery:
            out.write('[saved_list]\nfolder = "list"\nsite = "school"\n[recovery]\nfolder = "kept"\n'
                      'ask_s = 0.1\nsettle_s = 0.1\nprime_s = 0.1\n')
    env = dict(os.environ, GW_CONFIG=os.path.join(folder, "config.json"), TMPDIR=os.path.join(folder, "tmp"), GW_OPS=f"{host}:{OPS}")
    env.pop("GW_INHERITED_FD", None)
    with open(os.path.join(folder, "log"), "a", encoding="utf-8") as log:
        return subprocess.Popen([program, "serve", "--operator", operator, "--log-level", "info"], env=env, stderr=log)


def end(proc):
    if proc.poll() is None:
        proc.send_signal(signal.SIGTERM)
    return proc.wait(timeout=BOUND_S)


def change_log(listener, heard):
    """A stand-in change log: keeps the request that a proxy makes and says nothing."""
    conn, _ = listener.accept()
    data = b""
    while b"\r\n\r\n" not in data:
        data += conn.recv(4096)
    heard.append(data.decode())
    heard.append(conn)


def command_line(transcript, program):
    transcript.part("command line")
    data = os.path.join(HERE, "data")
    example = os.path.join(HERE, "..", "..", "example")
    for words in (["version"], ["help"], ["keys"], ["completion"], ["serve", "--nothing"], ["serve", "--log-level", "loud"],
                  ["check-config", "--config", f"{example}/config.json"], ["check-config", "--config", f"{data}/hand_over.txt"],
                  ["list", "show", f"{data}/endpoints.sumlist", "--json"], ["list", "verify", f"{data}/recovery.sumkept"],
                  ["list", "diff", f"{data}/endpoints.sumlist", f"{data}/endpoints.sumlist"],
                  *([name, "--help"] for name in ("serve", "store", "purge", "group", "rollout", "release", "recovery", "list",
                                                  "expect", "sign-url", "sign-token"))):
        done = subprocess.run([program, *words], capture_output=True, text=True, env={"PATH": os.environ["PATH"]}, check=False)
        shown = [os.path.basename(word) if "/" in word else word for word in words]
        transcript.add(f"$ sumackeel {' '.join(shown)}: status {done.returncode}")
        said = (done.stdout + done.stderr).replace(data, "DATA").replace(example, "EXAMPLE")
        transcript.add(re.sub(r'("age_us" : )\d+', r"\1N", said))


def simulator(transcript, adapter):
    """Two instances under a stream of messages by chance, and what the adapter answers to each batch."""
    transcript.part("simulator")
    chance = random.Random(20261203)
    with open(os.path.join(HERE, "..", "..", "example", "config.json"), encoding="utf-8") as file:
        params = json.load(file)["settings"]
    names, out = ["gateway_0", "gateway_1"], []
    entries = [[4.5, f"c{i}", "in_service", "edge-1", 0, "small", 1] for i in range(4)]
    entries += [[20, f"p{i}", "in_service", "coast", 0, "parent", 2] for i in range(2)] + [[20, "origin", "in_service", "coast", 0, "origin", 3]]
    batches = [{"now": 1000, "groups": [{"i": name, "arrivals": [["new_instance", 5 + place, params], ["view", 1, "FULL", entries]]}
                                        for place, name in enumerate(names)]}]
    process = subprocess.Popen([adapter], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    open_, attempts, timers, now, number = {name: [] for name in names}, {}, {name: [] for name in names}, 1000, 0
    for step in range(260):
        if step:
            groups = []
            for name in names:
                arrivals = [["wake", timers[name].pop(0)[1]] for _ in [at for at, _ in timers[name] if at <= now]]
                what = chance.random()
                if what < 0.5 or not open_[name]:
                    number += 1
                    arrivals.append(["call", f"r:{number}", chance.choice(["video", "sheet", "enrol"]), None, f"h:{chance.randrange(20)}",
                                     3000000, chance.randrange(40, 900), chance.randrange(5), chance.randrange(3), chance.choice([0, 0, 2])])
                elif what < 0.9:
                    ident, cache, sent = open_[name].pop(chance.randrange(len(open_[name])))
                    verdict = chance.choice(["completed"] * 6 + ["errored", "saturated", "overdue", "severed", "lookup_miss"])
                    arrivals.append(["completed", ident, attempts[ident] - 1, cache, verdict, now - sent, verdict == "completed",
                                     chance.randrange(11), chance.randrange(90000), {"outstanding": chance.randrange(9), "x1": 0.5}])
                elif what < 0.94:
                    arrivals.append(["recalled", chance.randrange(5), 1000, f"h:{chance.randrange(20)}"])
                elif what < 0.97:
                    arrivals.append(["cancelled_by_client", open_[name][0][0]])
                else:
                    arrivals.append(["view", step, "INCREMENTAL", [[4.5, "c1", chance.choice(["in_service", "terminating"]), "edge-1", 0, "small", 1]]])
                groups.append({"i": name, "arrivals": arrivals})
            batches.append({"now": now, "groups": groups})
        process.stdin.write(json.dumps(batches[-1]) + "\n")
        process.stdin.flush()
        answer = process.stdout.readline()
        out.append(answer.strip())
        for group in json.loads(answer)["groups"]:
            for action in group["do"]:
                if action[0] == "remind":
                    timers[group["i"]] = sorted([*timers[group["i"]], (action[1], action[2])])
                if action[0] in ("serve_via", "route"):
                    attempts[action[1]] = attempts.get(action[1], 0) + 1
                    open_[group["i"]].append((action[1], action[3] if action[0] == "serve_via" else action[2], now))
        now += chance.randrange(30000)
    process.stdin.close()
    transcript.add("\n".join(out))
    transcript.add(f"status {process.wait(timeout=BOUND_S)}")


def main():
    program, adapter = sys.argv[1], sys.argv[2]
    transcript, folder = Transcript(), tempfile.mkdtemp(prefix="sumackeel-exchange-")
    net, guard = own_network()
    host = f"{net}.1"
    cache, changes, heard = Cache(f"{net}.3"), socket.socket(), []
    changes.bind((f"{net}.4", 8000))
    changes.listen(8)
    threading.Thread(target=change_log, args=(changes, heard), daemon=True).start()
    proc = start(folder, program, host, cache.at, f"{net}.4:8000")
    try:
        until(lambda: proc.poll() is not None or stats_ready(host), "a start")
        until(lambda: heard, "a request to the change log")
        until(lambda: '"serving"' in http((host, OPS), "GET /ops/recovery HTTP/1.1\r\nHost: ops\r\n\r\n"), "the last phase of recovery")
        transcript.part("change log")
        transcript.add(steady(repr(heard[0])))
        platform(transcript, host, cache)
        signed(transcript, host, program, os.path.join(folder, "operator.toml"), cache)
        store(transcript, host)
        ops(transcript, host)
    finally:
        status = end(proc)
    if status:
        with open(os.path.join(folder, "log"), encoding="utf-8") as log:
            print(log.read())
    if "--record" in sys.argv:
        record_log(folder, program, net)
    from_stored_log(transcript, folder, program, net)
    command_line(transcript, program)
    simulator(transcript, adapter)
    guard.close()
    if "--record" in sys.argv:
        with open(RECORD, "w", encoding="utf-8") as out:
            out.write(transcript.text())
        print(f"recorded; files of the run are in {folder}")
        return
    shutil.rmtree(folder, ignore_errors=True)
    with open(RECORD, encoding="utf-8") as file:
        expected = file.read()
    differs = list(difflib.unified_diff(expected.splitlines(), transcript.text().splitlines(), "recorded", "now", lineterm="", n=1))
    print("\n".join(line[:600] for line in differs[:60]))
    print("0 passed, 1 failed" if differs or status else "1 passed, 0 failed")
    sys.exit(1 if differs or status else 0)


if __name__ == "__main__":
    main()
