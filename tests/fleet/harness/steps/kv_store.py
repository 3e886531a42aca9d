"""Keys that all members agree on, and purges through the replicated log."""
import hashlib
import json
import os
import random
import socket
import threading
import time

from .base import StepsBase
from ..failure import Failed
from ..network import STORE


class KvStoreSteps(StepsBase):
    """Keys that all members agree on, and purges through the replicated log."""

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
        self.record_purge(self.purged_at, time.time(), words[-1] if words[0] == "object" else None)

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
