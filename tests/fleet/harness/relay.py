"""Links between processes that a test steers: one for each ordered pair, for datagrams and streams at one port.

What goes from A to B passes the link A-B; a stream that A opened to B passes A-B one way and B-A the other, so
a cut of either breaks it. Nothing here speaks the peers' language: links lose, delay, repeat and keep bytes.
"""
import heapq
import random
import selectors
import socket
import threading
import time


class Link:
    def __init__(self):
        self.cut, self.loss, self.delay, self.jitter, self.twice = False, 0.0, 0.0, 0.0, 0.0
        self.passed = self.dropped = self.swallowed = 0
        self.swallow_from = None  # bytes: what comes at once and is as long is taken, lost, and the stream closed
        self.kept = []  # datagrams, to be played again
        self.hold = False  # streams: what comes waits, and goes on in its order once this is off again
        self.held = []  # (socket, its pair, the other one, bytes), the last bytes of a socket being empty


class Relay(threading.Thread):
    """`places`: for each ordered pair (a, b) where the link listens and where it leads."""

    def __init__(self, places, seed):
        super().__init__(daemon=True)
        self.links = {pair: Link() for pair in places}
        self.places, self.random, self.keep = places, random.Random(seed), False
        self.selector, self.due, self.order = selectors.DefaultSelector(), [], 0
        self.lock, self.going, self.opened = threading.RLock(), True, set()
        for pair, (at, to) in places.items():
            if len(pair) == 2:
                datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                datagrams.bind(at)
                datagrams.setblocking(False)
                self.selector.register(datagrams, selectors.EVENT_READ, ("datagram", pair, to))
            streams = socket.socket()
            streams.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            streams.bind(at)
            streams.listen(16)
            streams.setblocking(False)
            self.selector.register(streams, selectors.EVENT_READ, ("accept", pair, to))

    def run(self):
        while self.going:
            with self.lock:
                wait = self.due[0][0] - time.monotonic() if self.due else 0.05
            for key, _ in self.selector.select(max(0, min(wait, 0.05))):
                kind, pair, to = key.data
                try:
                    getattr(self, "on_" + kind)(key.fileobj, pair, to)
                except OSError:
                    pass
            for link in self.links.values():
                while link.held and not link.hold:
                    self.pass_on(*link.held.pop(0))
            with self.lock:
                while self.due and self.due[0][0] <= time.monotonic():
                    _, _, sock, data, to = heapq.heappop(self.due)
                    try:
                        sock.sendto(data, to)
                    except OSError:
                        pass  # nobody listens there just now
        for key in list(self.selector.get_map().values()):
            key.fileobj.close()

    def on_datagram(self, sock, pair, to):
        for _ in range(64):
            try:
                data, _ = sock.recvfrom(65536)
            except BlockingIOError:
                return
            link = self.links[pair]
            if self.keep and len(link.kept) < 200:
                link.kept.append((sock, data, to))
            if link.cut or self.random.random() < link.loss:
                link.dropped += 1
                continue
            link.passed += 1
            for _ in range(2 if self.random.random() < link.twice else 1):
                self.later(link.delay + self.random.uniform(-1, 1) * link.jitter, sock, data, to)

    def later(self, delay, sock, data, to):
        with self.lock:
            self.order += 1
            heapq.heappush(self.due, (time.monotonic() + max(0, delay), self.order, sock, data, to))

    def play_again(self, pair):
        """All datagrams that were kept on a link, as they were."""
        for sock, data, to in self.links[pair].kept:
            self.later(0, sock, data, to)

    def inject(self, pair, data):
        """Bytes that nobody of the group sent."""
        to = self.places[pair][1]
        sock = next(key.fileobj for key in self.selector.get_map().values() if key.data[:2] == ("datagram", pair))
        self.later(0, sock, data, to)

    def broken(self, pair):
        back = (pair[1], pair[0], *pair[2:])
        return self.links[pair].cut or self.links[back].cut

    def on_accept(self, listener, pair, to):
        near, _ = listener.accept()
        if self.broken(pair):
            return near.close()
        far = socket.socket()
        far.settimeout(1)
        try:
            far.connect(to)
        except OSError:
            near.close()
            return far.close()
        self.opened.add(near)
        for one, other in ((near, far), (far, near)):
            one.setblocking(False)
            self.selector.register(one, selectors.EVENT_READ, ("stream", pair, other))
        return None

    def on_stream(self, sock, pair, other):
        try:
            data = sock.recv(1 << 16)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        link = self.links[pair]
        if link.hold or link.held:
            link.held.append((sock, pair, other, data))
            if not data:
                self.selector.unregister(sock)
            return
        self.pass_on(sock, pair, other, data)

    def pass_on(self, sock, pair, other, data):
        link = self.links[pair]
        lost = sock in self.opened and link.swallow_from is not None and len(data) >= link.swallow_from
        link.swallowed += lost
        if data and not lost and not self.broken(pair):
            other.setblocking(True)
            other.settimeout(1)
            try:
                other.sendall(data)
                other.setblocking(False)
                return
            except OSError:
                pass
        for one in (sock, other):
            try:
                self.selector.unregister(one)
            except (KeyError, ValueError):
                pass
            self.opened.discard(one)
            one.close()
