"""Clients of the signed front with unlike habits, and the operator's file that it needs."""
import asyncio
import base64
import json
import os
import subprocess
import tempfile
import time

from habits import CROSSING_S
from rig import reserved_port


class SignedSetup:
    """A folder with keys, and the operator's file of a signed front on a free port."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="sumackeel-signed-")
        secret = base64.urlsafe_b64encode(bytes(32)).decode().rstrip("=")
        keys = [{"kty": "oct", "kid": kid, "alg": alg, "purpose": purpose, "k": secret} for kid, alg, purpose in
                (("link-1", "HS256", "link"), ("student-1", "HS256", "student"), ("subject-1", "dir", "subject"))]
        with open(os.path.join(self.folder.name, "keys.json"), "w", encoding="utf-8") as out:
            json.dump({"keys": keys}, out)
        self.reserved = reserved_port()
        self.port = self.reserved.getsockname()[1]
        self.operator = (f'[signed_front]\nlisten = "127.0.0.1:{self.port}"\nhost = "127.0.0.1:{self.port}"\n'
                         'scheme = "http"\naudience = "example"\nlink_issuers = ["course"]\n'
                         'token_issuers = ["login"]\none_time = "local"\nkeys = "keys.json"\n')

    def links(self, program):
        """The port, a signed target and a student's token for it."""
        file = os.path.join(self.folder.name, "operator.toml")

        def said(*words):
            return subprocess.run([program, *words], check=True, capture_output=True, text=True).stdout.strip()
        link = said("sign-url", "--operator", file, "--link-key", "link-1", "--subject-key", "subject-1", "--student", "ana",
                    "/video/7f3a9c21e0b4d655/3?set=17&need=40")
        token = said("sign-token", "--operator", file, "--student-key", "student-1", "--student", "ana")
        return self.port, link.split(f"127.0.0.1:{self.port}", 1)[1], token


class HttpClient:
    """One connection of one habit, until the proxy ends it."""

    def __init__(self, world, habit, links):
        self.world, self.habit, (self.port, target, token) = world, habit, links
        self.request = (f"GET {target} HTTP/1.1\r\nHost: 127.0.0.1:{self.port}\r\nAuthorization: Bearer {token}\r\n"
                        "Prefer: wait=3\r\n\r\n").encode()
        self.waiting, self.answers, self.served, self.lost = [], 0, 0, []
        self.said_close = self.ended = False

    def told(self):
        return f"{self.answers} answers, {self.served} of them 200"

    async def run(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        sending = asyncio.ensure_future(self.send(writer))
        try:
            while await self.answer(reader):
                if self.habit == "thinking":
                    await asyncio.sleep(0.4)
                if self.habit in ("one at a time, at once again", "thinking"):
                    self.ask(writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.ended = True
        sending.cancel()
        writer.close()
        now = time.monotonic()
        # An answer that says close is the last: what was sent behind it has not been processed (RFC 9112, 9.6).
        if not self.said_close:
            self.lost = [now - sent for sent in self.waiting if now - sent > CROSSING_S + self.world.lag()]

    def ask(self, writer):
        self.waiting.append(time.monotonic())
        writer.write(self.request)

    async def send(self, writer):
        if self.habit == "silent":
            return
        if self.habit == "half a request":
            writer.write(self.request[:40])
            return
        ahead = {"sends ahead": 5, "sends ahead, always": 40}.get(self.habit, 1)
        self.ask(writer)
        while ahead > 1:
            while len(self.waiting) < ahead:
                self.ask(writer)
            await asyncio.sleep(0.02 if ahead == 5 else 0.001)

    async def answer(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line)
        await reader.readexactly(int(fields.get(b"content-length", b"0")))
        if self.waiting:
            self.waiting.pop(0)
        self.answers += 1
        self.served += b" 200 " in head.split(b"\r\n")[0]
        self.said_close = self.said_close or fields.get(b"connection") == b"close"
        return True
