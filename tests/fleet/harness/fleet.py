"""All processes of a scenario with their links, stand-ins and clients."""
import shutil
import tempfile

from .failure import Failed
from .network import PEERS, VOTES, own_network
from .stub_caches import StubCaches
from .clients import Client
from .processes import Member
from .relay import Relay
from .power import ChangeLogs, Copies


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
        self.boxes = StubCaches(f"{self.net}.250")
        self.slow_boxes = StubCaches(f"{self.net}.251", delay=0.1)
        self.objects = scenario.get("objects", 997)  # that clients ask for
        self.own_objects = scenario.get("own_objects", False)  # each client asks for others, so that nobody renews its copies
        self.recovery = scenario.get("recovery")  # settings of [recovery]; boxes then hold copies, and lists come from
        self.logs = ChangeLogs(self.net, self.members) if self.recovery is not None else None  # a change log for each
        self.copies = Copies(self.net, [*(self.pop_caches or ("s-a", "s-b")), "s-parent", "s-origin"]) if self.logs else None
        if self.logs:
            self.logs.tell({"fleet": {"seq": 1, "whole": True, "hosts": self.hosts()}})
        self.box_of = {}  # pop caches of their own, by id, where it matters who is asked
        for number, name in enumerate(() if self.copies else self.pop_caches or ()):
            self.box_of[name] = StubCaches(f"{self.net}.{210 + number}")
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

    def object_of(self, member, number):
        """The object of a client's request of that number."""
        first = member.index * self.objects if self.own_objects else 0
        return f"{first + number * 7919 % self.objects:016x}"

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
            for member in self.all:
                for line in member.warnings():
                    print(f"{member.name}: {line}")
            print(f"files of this run are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
