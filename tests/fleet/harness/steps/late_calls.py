"""Calls that are answered no while something holds them up, and what they do once they are let go."""
import random
import subprocess
import threading
import time

from .base import StepsBase
from ..failure import Failed
from ..network import LOOK_EVERY_S
from wire import ops_call

CALL_S = 1.0  # an operators' call is answered within this; who waits longer has given up
SETTLED_S = 1.0  # from the release of what was held until all members know of it
HELD_S = (0.1, 0.5, 0.8, 1.0, 1.6, 2.6, 3.5, 6.0)
PATIENCE_S = 3600  # of a release that nobody installs, so that it goes on until it is told otherwise


class LateCallSteps(StepsBase):
    """Calls that are answered no while something holds them up, and what they do once they are let go."""

    def ask(self, member, words):
        """One call in words, such as "down s-a" or "set KEY VALUE"; whether it was answered yes in time."""
        action, *rest = words.split()
        if action in ("up", "down"):
            path = f"/ops/pop-caches/{action}/{rest[0]}"
        elif action in ("drain", "undrain"):
            path = f"/ops/drain/{'start' if action == 'drain' else 'stop'}"
        elif action in ("halt", "resume", "back"):
            path = f"/ops/release/{action}"
        elif action == "start":
            plan = self.plan_file({"waves": [1], "members": [self.fleet.all[-1].name], "patience_s": PATIENCE_S})
            return subprocess.run([self.fleet.program, "release", "start", plan, "--at", f"{member.host}:{member.ops_port}"],
                                  capture_output=True, timeout=10, check=False).returncode == 0
        elif action == "promote":
            return "promoted" in (self.words(member, promote=True) or {})
        else:
            question = {action: rest[0], **({"value": rest[1]} if action == "set" else {})}
            return (self.words(member, **question) or {}).get("outcome") == "done"
        return ops_call(member.ops_port, "POST", path, host=member.host, bound=CALL_S) == 200

    def ask_until_yes(self, member, words):
        self.eventually(10, f"{words} at {member.name}", lambda: self.ask(member, words) or "no")

    def what_is(self, member):
        """The part of the agreed state that the calls change, as the member knows it."""
        rollout, release = self.rollout(member), member.told("/ops/release")
        keys = (self.words(member, list="late/") or {}).get("keys", []) if self.fleet.store is not None else []
        return {"out": sorted(one["member"] for one in rollout["leases"]),
                "release": release.get("active", {}).get("stage", "none"),
                "keys": {one["key"]: one["value"] for one in keys}}

    @staticmethod
    def after(state, words, caller):
        """The state that a call answered yes leads to."""
        action, *rest = words.split()
        out, keys = set(state["out"]), dict(state["keys"])
        stages = {"halt": "halted", "resume": "changing", "back": "going back", "start": "changing"}
        if action in ("down", "drain"):
            out.add(rest[0] if rest else caller)
        elif action in ("up", "undrain"):
            out.discard(rest[0] if rest else caller)
        elif action == "set":
            keys[rest[0]] = rest[1]
        elif action == "remove":
            keys.pop(rest[0], None)
        return {"out": sorted(out), "release": stages.get(action, state["release"]), "keys": keys}

    def roles(self):
        """The leader, a voter that makes the call, and the third."""
        leader = next((member for member in self.fleet.all if (self.rollout(member) or {}).get("leads")), None)
        if leader is None:
            return None
        caller, other = [member for member in self.fleet.all[:3] if member is not leader]
        return {"leader": leader, "caller": caller, "other": other}

    def hold_up(self, what, on, roles):
        """What stands between the call and its effect: a link's streams one way, or processes that are stopped."""
        leader, caller, other = roles["leader"], roles["caller"], roles["other"]
        stopped = {"leader": [leader], "caller": [caller], "voters": [caller, other]}.get(what)
        if stopped:
            (self.stop if on else self.cont)([member.index for member in stopped])
            return
        pair = {"requests": (caller, leader), "replies": (leader, caller)}[what]
        self.fleet.relay.links[tuple(member.index for member in pair)].hold = on

    def late(self, call, hold="requests", at="caller", free_after=1.6, before=(), meanwhile=(), watch=1.5):
        """`before` is called, and answered yes. `call` is made while `hold` holds it up, for `free_after` seconds; then
        `meanwhile`, ["leader", "down s-a"] each, until a yes. What is so for `watch` seconds from the end of all is what
        the calls answered yes say, in their order: nothing that was answered no."""
        self.eventually(20, "a leader", lambda: self.roles() is not None or "none")
        for words in before:
            self.ask_until_yes(self.roles()["leader"], words)
        roles = self.roles()
        expected = self.what_is(roles["leader"])
        self.hold_up(hold, True, roles)
        began = time.monotonic()
        free = threading.Timer(free_after, self.hold_up, (hold, False, roles))
        free.start()
        answered = self.ask(roles[at], call)
        if answered:
            expected = self.after(expected, call, roles[at].name)
        print(f"{roles[at].name}, {hold} held: {call}: {'yes' if answered else 'no'} "
              f"after {time.monotonic() - began:.2f} s", flush=True)
        for who, words in meanwhile:
            self.ask_until_yes(roles[who], words)
            expected = self.after(expected, words, roles[who].name)
        free.join()
        time.sleep(SETTLED_S)
        end = time.monotonic() + watch
        while time.monotonic() < end:
            for member in self.fleet.all:
                state = self.what_is(member)
                if state != expected:
                    raise Failed(f"{call}, answered {'yes' if answered else 'no'}, {hold} held for {free_after} s: "
                                 f"{member.name} knows {state}, and the calls answered yes say {expected}")
            time.sleep(LOOK_EVERY_S)

    def late_by_chance(self, seconds, longest=6.0):
        """Rows of `late` by chance, one after another: a call, what holds it up for how long, and what is called meanwhile."""
        chance, end = random.Random(self.fleet.seed), time.monotonic() + seconds
        kinds = (("up s-a", "down s-a"), ("halt", "resume"), ("set late/a {}", "remove late/a"))
        self.eventually(20, "a leader", lambda: self.roles() is not None or "none")
        self.ask_until_yes(self.roles()["leader"], "start")
        number = 0
        while time.monotonic() < end:
            kind, number = chance.choice(kinds), number + 1
            hold = chance.choice(("requests", "requests", "replies", "leader", "caller", "voters"))
            others = [[chance.choice(("leader", "other")), chance.choice(kind).format(f"new{number}")]
                      for _ in range(chance.randrange(3)) if hold != "voters" and kind[0] != "halt"]
            if kind[0] == "halt" and hold != "voters":  # told to resume, one that is not halted says no
                others = [["other", "halt"]] * chance.randrange(3)
            if hold == "leader":
                others = [["other", words] for _, words in others]
            self.late(chance.choice(kind).format(f"old{number}"), hold, "leader" if hold == "voters" else "caller",
                      chance.choice([held for held in HELD_S if held <= longest]), (), others, watch=0.5)
