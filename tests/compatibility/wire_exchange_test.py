#!/usr/bin/env python3
"""Exchanges requests and responses with a real process over each of its interfaces and compares them with data/exchanges.txt.

Values that vary from run to run (ports, times, folder names, counters) are replaced by a fixed word before the comparison;
everything else must match byte for byte. Refactoring must not change the recorded file.
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
# The fake pop cache's responses to requests of class sheet, by the first letter of the request id; all others are served.
SERVED = "DONE digest=e1,dated=1764576000123,tell=pulled 2\r\nok"
CACHE_ANSWERS = {"a": SERVED, "b": "BROKE - 0\r\n", "c": "KEEP digest=e1,tell=local 0\r\n"}


class Transcript:
    def __init__(self):
        self.lines = []

    def start_section(self, title):
        self.lines += ["", f"== {title}"]

    def add(self, text):
        self.lines += text.splitlines() or [""]

    def text(self):
        return "\n".join(self.lines) + "\n"


def normalize(text):
    """Replaces what differs between runs: addresses, ports, folders and time limits."""
    text = re.sub(r"127\.\d+\.\d+\.(\d+)", r"127.X.X.\1", text)
    text = re.sub(r"127\.0\.0\.1:\d+", "127.0.0.1:PORT", text)
    text = re.sub(r"/tmp/[\w./-]+", "FOLDER", text)
    return re.sub(r"\b(limit|accept)=\d+", r"\1=MS", text)


def replace_numbers(text):
    """Replaces each number by N."""
    return re.sub(r"(?<![\w.])-?\d+(\.\d+)?(e[-+]?\d+)?(?![\w])", "N", text)


def shape(value):
    """The structure of a JSON value: its keys in order with the types of their values."""
    if isinstance(value, dict):
        return {key: shape(inner) for key, inner in value.items()}
    if isinstance(value, list):
        return [shape(value[0])] if value else []
    return value if isinstance(value, bool) else type(value).__name__


class Cache:
    """A fake pop cache that records its requests."""

    def __init__(self, host):
        self.listener = socket.socket()
        self.listener.bind((host, 0))
        self.listener.listen(64)
        self.address = "%s:%d" % self.listener.getsockname()
        self.requests = []
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
                fields = line.decode().split()
                body = lines.read(int(fields[3]) + 2) if fields[0] == "REQ" else b""
                self.requests.append((line + body).decode())
                if fields[0] == "REQ":
                    answer = CACHE_ANSWERS.get(fields[1][0], SERVED) if "cls=sheet" in fields[2] else SERVED
                    conn.sendall(f"{fields[1]} {answer}\r\n".encode())


def wait_until(condition, description):
    deadline = time.monotonic() + BOUND_S
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(description)
        time.sleep(0.02)


def http(address, text):
    """Sends one request and returns everything received until the connection is closed."""
    with socket.create_connection(address, timeout=BOUND_S) as conn:
        conn.sendall(text.encode())
        answer = b""
        while chunk := conn.recv(65536):
            answer += chunk
        return answer.decode()


def record_platform_exchanges(transcript, host, cache):
    transcript.start_section("platform: Thrift frames in hex, and what the pop cache was asked")
    with socket.create_connection((host, CLIENTS), timeout=BOUND_S) as conn:
        object_id = b"7f3a9c21e0b4d655"
        frames = [dispatch(1, b"a000000000000001", object_id), dispatch(2, b"c000000000000002", object_id),
                  dispatch(3, b"b000000000000003", object_id), dispatch(4, b"e000000000000004", b"00000000000000e1", kind=b"enrol"),
                  dispatch(5, b"a000000000000005", object_id, kind=b"unheard_of"), dispatch(6, b"a-6", object_id),
                  dispatch(7, b"a000000000000007", object_id, need=b"none")]
        for name in (b"alive", b"resign"):
            body = be(0x80010001, 4) + tstr(name) + be(6, 4) + be(2, 1) + be(1, 2) + be(1, 1) + be(0, 1)
            frames.append(be(len(body), 4) + body)
        for frame in frames:
            conn.sendall(frame)
            length = exactly(conn, 4)
            transcript.add("> " + frame.hex())
            transcript.add("< " + (length + exactly(conn, struct.unpack(">I", length)[0])).hex())
        conn.sendall(cancel(1))
    for request in cache.requests:
        transcript.add(normalize(repr(request)))


def record_admin_calls(transcript, host):
    transcript.start_section("operators' calls")
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
                head, body = re.sub(r"Content-Length: \d+", "Content-Length: N", head), replace_numbers(body)
        transcript.add(f"> {method} {path}")
        transcript.add(normalize(f"< {head!r}\n{body.strip()}"))
    transcript.add("> not HTTP")
    transcript.add(repr(http((host, OPS), "\x01\x02 nothing\r\n\r\n")))


def record_store_exchanges(transcript, host):
    transcript.start_section("store: a JSON object a line")
    with socket.create_connection((host, STORE), timeout=BOUND_S) as conn, conn.makefile() as answers:
        for question in ('{"set": "revoked/j-17", "value": "yes"}', '{"set": "key/k", "value": "perhaps"}',
                         '{"get": "revoked/j-17"}', '{"get": "revoked/j-17", "sure": true}', '{"get": "none"}',
                         '{"set": "fleet/a", "value": "1", "version": 9}', '{"list": "revoked/"}',
                         '{"remove": "revoked/j-17"}', '{"get": "revoked/j-17"}', "no JSON", "[]", '{"promote": true}'):
            conn.sendall(question.encode() + b"\n")
            answer = re.sub(r'"age_s":[0-9.e+-]+', '"age_s":S', answers.readline().strip())
            transcript.add(f"> {question}\n< {normalize(re.sub(r'promoted.:[0-9]+', 'promoted:N', answer))}")


def record_signed_links(transcript, host, program, operator, cache):
    transcript.start_section("signed links")

    def run_tool(*arguments):
        return subprocess.run([program, *arguments], capture_output=True, text=True, check=True).stdout.strip()
    token = run_tool("sign-token", "--operator", operator, "--student-key", "student-1", "--student", "ana")
    other = run_tool("sign-token", "--operator", operator, "--student-key", "student-1", "--student", "bea")

    def link(target, *options):
        full = run_tool("sign-url", "--operator", operator, "--link-key", "link-1", "--subject-key", "subject-1", "--student", "ana",
                    *options, target)
        return "/" + full.split("/", 3)[3]
    video = link("/video/7f3a9c21e0b4d655/3?set=17&need=40")
    once = link("/enrol/00000000000000e1", "--one-time", "j-1")
    cache.requests.clear()
    for title, method, target, bearer, headers in (
            ("served", "GET", video, token, ""), ("no token", "GET", video, "", ""), ("another's", "GET", video, other, ""),
            ("forged", "GET", video[:-4] + "AAAA", token, ""), ("no link", "GET", "/video/7f3a9c21e0b4d655/3", token, ""),
            ("no target", "GET", "/nothing", token, ""), ("wrong method", "PUT", video, token, ""),
            ("once", "POST", once, token, "Content-Length: 4\r\n"), ("twice", "POST", once, token, "Content-Length: 4\r\n"),
            ("same copy", "GET", video, token, 'If-None-Match: "e1"\r\n')):
        bearer = f"Authorization: Bearer {bearer}\r\n" if bearer else ""
        body = "four" if "Content-Length" in headers else ""
        answer = http((host, SIGNED), f"{method} {target} HTTP/1.1\r\nHost: cache.example.org\r\nConnection: close\r\n"
                                      f"{bearer}{headers}\r\n{body}")
        transcript.add(f"> {title}")
        transcript.add(re.sub(r"Date: [^\\]+", "Date: D", repr(answer)))
    for request in cache.requests:
        transcript.add(normalize(re.sub(r"REQ [\w-]+", "REQ ID", repr(request))))


def record_log(folder, program, net):
    """Records a voter's folders as test data: log entries, a lease, and what a clean shutdown writes."""
    home, host = os.path.join(folder, "recorded"), f"{net}.2"
    proc = start(home, program, host, "127.0.0.1:1", "", signed_front=False, recovery=False)
    wait_until(lambda: proc.poll() is not None or is_started(host), "a start")
    with socket.create_connection((host, STORE), timeout=BOUND_S) as conn, conn.makefile() as answers:
        for question in ('{"set": "revoked/j-17", "value": "yes"}', '{"set": "key/k", "value": "off"}', '{"remove": "key/k"}'):
            conn.sendall(question.encode() + b"\n")
            print(answers.readline().strip())
    print(http((host, OPS), "POST /ops/pop-caches/down/s-a HTTP/1.1\r\nHost: ops\r\n\r\n"))
    stop(proc)
    data = os.path.join(HERE, "data", "consensus_log")
    shutil.rmtree(data, ignore_errors=True)
    for name in ("agreed", "state"):
        shutil.copytree(os.path.join(home, name), os.path.join(data, name))


def is_ready(host):
    return "gw_ready 1" in http((host, OPS), "GET /ops/stats HTTP/1.1\r\nHost: ops\r\n\r\n")


def start_from_stored_log(transcript, folder, program, net):
    """A voter starts from a log written by version 0.3.0, with a snapshot and entries after it."""
    transcript.start_section("agreed log of version 0.3.0")
    data = os.path.join(HERE, "data", "consensus_log")
    if not os.path.isdir(data):
        return
    home = os.path.join(folder, "stored")
    shutil.copytree(data, home)
    host = f"{net}.2"
    proc = start(home, program, host, "127.0.0.1:1", "", signed_front=False, recovery=False)
    try:
        wait_until(lambda: proc.poll() is not None or is_started(host), "a start from a stored log")
        with socket.create_connection((host, STORE), timeout=BOUND_S) as conn, conn.makefile() as answers:
            for question in (b'{"get": "revoked/j-17", "sure": true}\n', b'{"list": ""}\n'):
                conn.sendall(question)
                transcript.add(answers.readline().strip())
        rollout = http((host, OPS), "GET /ops/rollout HTTP/1.1\r\nHost: ops\r\n\r\n").split("\r\n\r\n", 1)[1]
        transcript.add(json.dumps([lease["member"] for lease in json.loads(rollout)["leases"]]))
    finally:
        stop(proc)


def is_started(host):
    try:
        return is_ready(host)
    except OSError:
        return False


def start(folder, program, host, cache_address, changelog_address, signed_front=True, recovery=True):
    os.makedirs(os.path.join(folder, "tmp"), exist_ok=True)
    settings = settings_for("n0", f"{host}:{CLIENTS}", lambda _: cache_address)
    settings["changelog"] = changelog_address
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


def stop(proc):
    if proc.poll() is None:
        proc.send_signal(signal.SIGTERM)
    return proc.wait(timeout=BOUND_S)


def serve_change_log(listener, received):
    """A fake change log: records the request that a proxy makes and sends nothing."""
    conn, _ = listener.accept()
    data = b""
    while b"\r\n\r\n" not in data:
        data += conn.recv(4096)
    received.append(data.decode())
    received.append(conn)


def record_command_line(transcript, program):
    transcript.start_section("command line")
    data = os.path.join(HERE, "data")
    example = os.path.join(HERE, "..", "..", "example")
    for arguments in (["version"], ["help"], ["keys"], ["completion"], ["serve", "--nothing"], ["serve", "--log-level", "loud"],
                  ["check-config", "--config", f"{example}/config.json"], ["check-config", "--config", f"{data}/hand_over.txt"],
                  ["list", "show", f"{data}/endpoints.sumlist", "--json"], ["list", "verify", f"{data}/recovery.sumkept"],
                  ["list", "diff", f"{data}/endpoints.sumlist", f"{data}/endpoints.sumlist"],
                  *([name, "--help"] for name in ("serve", "store", "purge", "group", "rollout", "release", "recovery", "list",
                                                  "expect", "sign-url", "sign-token"))):
        completed = subprocess.run([program, *arguments], capture_output=True, text=True, env={"PATH": os.environ["PATH"]}, check=False)
        shown = [os.path.basename(argument) if "/" in argument else argument for argument in arguments]
        transcript.add(f"$ sumackeel {' '.join(shown)}: status {completed.returncode}")
        output = (completed.stdout + completed.stderr).replace(data, "DATA").replace(example, "EXAMPLE")
        transcript.add(re.sub(r'("age_us" : )\d+', r"\1N", output))


def record_simulator_run(transcript, adapter):
    """Sends random messages for two instances and records the adapter's response to each batch."""
    transcript.start_section("simulator")
    rng = random.Random(20261203)
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
                event = rng.random()
                if event < 0.5 or not open_[name]:
                    number += 1
                    arrivals.append(["call", f"r:{number}", rng.choice(["video", "sheet", "enrol"]), None, f"h:{rng.randrange(20)}",
                                     3000000, rng.randrange(40, 900), rng.randrange(5), rng.randrange(3), rng.choice([0, 0, 2])])
                elif event < 0.9:
                    request_id, cache, sent = open_[name].pop(rng.randrange(len(open_[name])))
                    outcome = rng.choice(["completed"] * 6 + ["errored", "saturated", "overdue", "severed", "lookup_miss"])
                    arrivals.append(["completed", request_id, attempts[request_id] - 1, cache, outcome, now - sent, outcome == "completed",
                                     rng.randrange(11), rng.randrange(90000), {"outstanding": rng.randrange(9), "x1": 0.5}])
                elif event < 0.94:
                    arrivals.append(["recalled", rng.randrange(5), 1000, f"h:{rng.randrange(20)}"])
                elif event < 0.97:
                    arrivals.append(["cancelled_by_client", open_[name][0][0]])
                else:
                    arrivals.append(["view", step, "INCREMENTAL", [[4.5, "c1", rng.choice(["in_service", "terminating"]), "edge-1", 0, "small", 1]]])
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
        now += rng.randrange(30000)
    process.stdin.close()
    transcript.add("\n".join(out))
    transcript.add(f"status {process.wait(timeout=BOUND_S)}")


def main():
    program, adapter = sys.argv[1], sys.argv[2]
    transcript, folder = Transcript(), tempfile.mkdtemp(prefix="sumackeel-exchange-")
    net, guard = own_network()
    host = f"{net}.1"
    cache, changelog, received = Cache(f"{net}.3"), socket.socket(), []
    changelog.bind((f"{net}.4", 8000))
    changelog.listen(8)
    threading.Thread(target=serve_change_log, args=(changelog, received), daemon=True).start()
    proc = start(folder, program, host, cache.address, f"{net}.4:8000")
    try:
        wait_until(lambda: proc.poll() is not None or is_started(host), "a start")
        wait_until(lambda: received, "a request to the change log")
        wait_until(lambda: '"serving"' in http((host, OPS), "GET /ops/recovery HTTP/1.1\r\nHost: ops\r\n\r\n"), "the last phase of recovery")
        transcript.start_section("change log")
        transcript.add(normalize(repr(received[0])))
        record_platform_exchanges(transcript, host, cache)
        record_signed_links(transcript, host, program, os.path.join(folder, "operator.toml"), cache)
        record_store_exchanges(transcript, host)
        record_admin_calls(transcript, host)
    finally:
        status = stop(proc)
    if status:
        with open(os.path.join(folder, "log"), encoding="utf-8") as log:
            print(log.read())
    if "--record" in sys.argv:
        record_log(folder, program, net)
    start_from_stored_log(transcript, folder, program, net)
    record_command_line(transcript, program)
    record_simulator_run(transcript, adapter)
    guard.close()
    if "--record" in sys.argv:
        with open(RECORD, "w", encoding="utf-8") as out:
            out.write(transcript.text())
        print(f"recorded; files of the run are in {folder}")
        return
    shutil.rmtree(folder, ignore_errors=True)
    with open(RECORD, encoding="utf-8") as file:
        expected = file.read()
    diff = list(difflib.unified_diff(expected.splitlines(), transcript.text().splitlines(), "recorded", "now", lineterm="", n=1))
    print("\n".join(line[:600] for line in diff[:60]))
    print("0 passed, 1 failed" if diff or status else "1 passed, 0 failed")
    sys.exit(1 if diff or status else 0)


if __name__ == "__main__":
    main()
