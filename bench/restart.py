#!/usr/bin/env python3
"""Starts and restarts of the edge proxy with and without a saved list, measured from outside.

    bench/restart.py [--before PROGRAM] [--only start|minute|saving] > table.md

PROGRAM is the earlier version that build/sumackeel is compared with. All on loopback: scripted boxes and a change
log in this process, the proxies as processes of their own. About three minutes. Targets stand beside the figures.
"""
import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import struct
import tempfile
import time

SETTINGS = json.load(open(os.path.join(os.path.dirname(__file__), "..", "example", "config.json")))["settings"]


def text(value):
    data = value.encode()
    return struct.pack(">i", len(data)) + data


def dispatch(seqid, fields):
    body = struct.pack(">I", 0x80010001) + text("dispatch") + struct.pack(">i", seqid)
    body += struct.pack(">bhbbi", 13, 1, 11, 11, len(fields))
    for key, value in fields.items():
        body += text(key) + text(value)
    body += struct.pack(">bhi", 11, 2, 0) + b"\0"
    return struct.pack(">i", len(body)) + body


class Boxes:
    """The boxes of our own school and the origin, each at an address of its own; all answer at once."""

    async def start(self, count):
        self.asked = 0
        self.servers, self.addresses = [], []
        for i in range(count):
            server = await asyncio.start_server(self.serve, "127.0.0.%d" % (i + 2), 0)
            self.servers.append(server)
            self.addresses.append("127.0.0.%d:%d" % (i + 2, server.sockets[0].getsockname()[1]))

    async def serve(self, reader, writer):
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if words and words[0] == "REQ":
                    await reader.readexactly(int(words[3]) + 2)
                    self.asked += 1
                    writer.write(f"{words[1]} DONE digest=e1,dated={time.time_ns() // 1_000_000},tell=local 2\r\nok\r\n".encode())
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()


class ChangeLog:
    def __init__(self):
        self.events = []
        self.writers = set()
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.follow, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def tell(self, event):
        seq = len(self.events) + 1
        data = f"id: {seq}\ndata: {json.dumps({'seq': seq, **event})}\n\n".encode()
        self.events.append(data)
        for writer in self.writers:
            writer.write(data)

    async def follow(self, reader, writer):
        behind = 0
        try:
            while line := (await reader.readline()).strip():
                if line.startswith(b"Last-Event-ID:"):
                    behind = int(line.split(b":")[1])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n" + b"".join(self.events[behind:]))
            self.writers.add(writer)
            while True:
                await asyncio.sleep(1)
                writer.write(b":\n\n")
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)


def host(name, address, kind="small"):
    return {"host": name, "dial": address, "site": "edge-1" if kind == "small" else "coast", "class": kind, "block": 1,
            "health": "SERVING", "share": 8, "born_ms": 0}


class Proxy:
    def __init__(self, program, folder, changelog, saved=None):
        self.program, self.folder, self.changelog, self.saved = program, folder, changelog, saved
        self.port = 0
        self.log = b""

    async def start(self):
        sock = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)  # a port that is free now
        self.port = sock.sockets[0].getsockname()[1]
        sock.close()
        config = {"name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": "2a",
                  "limits": {"memory_mb": 192, "sockets": 1024}, "changelog": self.changelog, "settings": SETTINGS}
        path = os.path.join(self.folder, "config.json")
        json.dump(config, open(path, "w"))
        words = [self.program, "serve", "--config", path]
        if self.saved:
            operator = os.path.join(self.folder, "operator.toml")
            open(operator, "w").write(f'[saved_list]\nfolder = "list"\nsite = "bench"\n{self.saved}\n')
            words += ["--operator", operator]
        self.started = time.monotonic()
        self.process = await asyncio.create_subprocess_exec(*words, stderr=asyncio.subprocess.PIPE)
        self.reading = asyncio.create_task(self.read_log())

    async def read_log(self):
        while line := await self.process.stderr.readline():
            self.log += line

    async def kill(self, how=signal.SIGKILL):
        self.process.send_signal(how)
        await self.process.wait()
        await self.reading

    def cpu_s(self):
        fields = open(f"/proc/{self.process.pid}/stat").read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def connect(self):
        while True:
            try:
                return await asyncio.open_connection("127.0.0.1", self.port)
            except ConnectionError:
                await asyncio.sleep(0.0005)


async def ask(connection, number, timeout_ms=3000):
    reader, writer = connection
    writer.write(dispatch(number, {"kind": "sheet", "req": "%016x" % number, "timeout": str(timeout_ms),
                                   "subject": "%016x" % (number * 7919), "slice": "0", "set": "17", "need": "40"}))
    length = struct.unpack(">i", await reader.readexactly(4))[0]
    reply = await reader.readexactly(length)
    place = struct.unpack(">h", reply[4 + 4 + 8 + 4 + 1:][:2])[0]
    return place == 0


async def first_served(proxy, bound_s):
    connection = await proxy.connect()
    number = 0
    while time.monotonic() < proxy.started + bound_s:
        number += 1
        if await ask(connection, number):
            return time.monotonic() - proxy.started
        await asyncio.sleep(0.001)
    return None


async def saved_folder(folder, boxes, log):
    """Leaves a list on disk as a killed proxy does."""
    proxy = Proxy("build/sumackeel", folder, log.address, "save_every_ms = 100")
    await proxy.start()
    await first_served(proxy, 20)
    while not any(name.endswith(".sumlist") for name in os.listdir(os.path.join(folder, "list"))):
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.6)
    await proxy.kill()


def ms(seconds):
    return "never" if seconds is None else f"{1000 * seconds:.0f} ms"


async def fleet(members):
    boxes = Boxes()
    await boxes.start(10)
    log = ChangeLog()
    await log.start()
    hosts = [host(f"s-{i}", boxes.addresses[i]) for i in range(9)] + [host("s-origin", boxes.addresses[9], "origin")]
    # The rest of the fleet stands in other schools: known, kept, never asked.
    for i in range(members - 10):
        other = host(f"f-{i}", "127.%d.%d.%d:9090" % (1 + i // 65536, i // 256 % 256, i % 256))
        other["site"] = "coast"
        hosts.append(other)
    log.tell({"fleet": {"seq": 1, "whole": True, "hosts": hosts}})
    return boxes, log


async def start_times(before):
    print("## From the start to the first served answer\n")
    print("Target: under 100 ms with a list of 10,000. Median of 5.\n")
    print("| members | before, discovery up | before, discovery dead | now, discovery up, no list | now, discovery dead, list |")
    print("| --- | --- | --- | --- | --- |")

    async def median(program, changelog, saved, folder, bound=20):
        times = []
        for _ in range(5):
            work = folder or tempfile.mkdtemp()
            proxy = Proxy(program, work, changelog, saved)
            await proxy.start()
            times.append(await first_served(proxy, bound))
            await proxy.kill()
            if not folder:
                shutil.rmtree(work)
            if times[-1] is None:
                return None
        return sorted(times)[2]

    for members in (10, 1000, 10000):
        boxes, log = await fleet(members)
        folder = tempfile.mkdtemp()
        await saved_folder(folder, boxes, log)
        up_before = await median(before, log.address, None, None) if before else None
        up_now = await median("build/sumackeel", log.address, "save_every_ms = 500", None)
        await log.stop()
        dead_before = await median(before, log.address, None, None, 2) if before else None
        dead_now = await median("build/sumackeel", log.address, "save_every_ms = 500", folder)
        print(f"| {members} | {ms(up_before) if before else '-'} | {ms(dead_before) if before else '-'} | {ms(up_now)} | {ms(dead_now)} |", flush=True)
        shutil.rmtree(folder)


async def minute(before):
    print("\n## A minute after a restart, discovery dead for its first 20 s\n")
    print("30 reads a second; the proxy was killed and started again at once. Target: 95% served.\n")
    print("| version | served | in the first 20 s |\n| --- | --- | --- |")

    async def one(name, program, saved):
        boxes, log = await fleet(10)
        folder = tempfile.mkdtemp()
        await saved_folder(folder, boxes, log)
        await log.stop()
        proxy = Proxy(program, folder, log.address, saved)
        await proxy.start()
        connection = await proxy.connect()
        served, early = 0, 0
        for number in range(1, 1801):
            if number == 600:
                await log.start()
            ok = await ask(connection, number)
            served += ok
            early += ok and number <= 600
            await asyncio.sleep(max(0, proxy.started + number / 30 - time.monotonic()))
        await proxy.kill(signal.SIGTERM)
        shutil.rmtree(folder)
        return f"| {name} | {served / 18:.1f}% | {early / 6:.1f}% |"

    runs = [one("now, list used in full", "build/sumackeel", "full_until_s = 60"),
            one("now, with care", "build/sumackeel", "full_until_s = 0"),
            one("now, too old: the origin alone, 5 a second", "build/sumackeel", "full_until_s = 0\ncareful_until_s = 0")]
    if before:
        runs.append(one("before", before, None))
    for line in await asyncio.gather(*runs):
        print(line, flush=True)


async def saving():
    print("\n## Saving 10,000 members while 100 changes a second come\n")
    print("20 s each. Targets: under 5% of a core for the saving, the loop held under 2 ms by it, under 300 KB a list.\n")
    print("| list on disk | CPU, share of a core | written | the loop held at most | bytes a list |\n| --- | --- | --- | --- | --- |")
    for name, saved in (("off", None), ("each 500 ms", "save_every_ms = 500"), ("each 100 ms", "save_every_ms = 100")):
        boxes, log = await fleet(10000)
        folder = tempfile.mkdtemp()
        proxy = Proxy("build/sumackeel", folder, log.address, saved)
        await proxy.start()
        await first_served(proxy, 20)
        await asyncio.sleep(1)
        cpu, begin = proxy.cpu_s(), time.monotonic()
        rng = random.Random(7)
        for change in range(2000):
            i = rng.randrange(9990)
            one = host(f"f-{i}", "127.%d.%d.%d:9090" % (1 + i // 65536, i // 256 % 256, i % 256))
            one["site"], one["share"] = "coast", rng.randrange(4, 10)
            log.tell({"fleet": {"seq": change + 2, "whole": False, "hosts": [one]}})
            await asyncio.sleep(max(0, begin + change / 100 - time.monotonic()))
        share = (proxy.cpu_s() - cpu) / (time.monotonic() - begin)
        await proxy.kill(signal.SIGTERM)
        figures = [line for line in proxy.log.decode().splitlines() if "saved list: ended" in line]
        words = figures[0].split("saved list: ended, ")[1] if figures else ""
        parts = dict(part.split("=") for part in words.split(" ")) if words else {}
        written = int(parts.get("written", 0))
        print(f"| {name} | {100 * share:.1f}% | {written or '-'} | "
              f"{parts.get('longest_us', '-')}{' µs' if parts else ''} | {int(parts['bytes']) // max(1, written) if parts else '-'} |", flush=True)
        await log.stop()
        shutil.rmtree(folder)


async def main():
    words = argparse.ArgumentParser()
    words.add_argument("--before")
    words.add_argument("--only", choices=["start", "minute", "saving"])
    args = words.parse_args()
    if args.only in (None, "start"):
        await start_times(args.before)
    if args.only in (None, "minute"):
        await minute(args.before)
    if args.only in (None, "saving"):
        await saving()


asyncio.run(main())
