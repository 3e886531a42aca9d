"""What a loss of power needs beside the harness: pop caches, a hub and an origin that hold copies and lose them, change
logs that a test takes away, and the judgement from what they saw. Nothing here asks the program what it thinks."""
import json
import socket
import threading
import time


class Listeners:
    """Sockets that listen, each connection in a thread of its own."""

    def __init__(self):
        self.listeners = []

    def listen(self, address, serve, whose):
        """Gives each connection and `whose` to `serve`; where it listens."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(512)
        self.listeners.append(listener)
        threading.Thread(target=self.accept, args=(listener, serve, whose), daemon=True).start()
        return "%s:%d" % listener.getsockname()

    @staticmethod
    def accept(listener, serve, whose):
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=serve, args=(conn, whose), daemon=True).start()

    def close(self):
        for listener in self.listeners:
            listener.shutdown(socket.SHUT_RDWR)  # a thread that accepts would keep it
            listener.close()


class Copies(Listeners):
    """Stand-in boxes by id, each at an address of its own. A box holds what it was asked for, dated by the origin; what it
    lacks, or holds too old a copy of, it fetches from the source that the request names."""

    def __init__(self, net, names):
        super().__init__()
        self.lock, self.held, self.fills, self.served, self.enrols = threading.Lock(), {}, [], [], {}
        self.at, self.asked = {}, []
        for number, name in enumerate(names):
            self.held[name] = {}
            self.at[name] = self.listen((f"{net}.{160 + number}", 0), self.serve, name)

    def serve(self, conn, name):
        try:
            with conn, conn.makefile("rb") as lines:
                while line := lines.readline():
                    words = line.decode().split()
                    if words and words[0] == "REQ":
                        lines.read(int(words[3]) + 2)
                        fields = dict(item.split("=", 1) for item in words[2].split(",") if "=" in item)
                        conn.sendall(self.answer(name, words[1], fields))
        except (ConnectionError, OSError):
            pass

    def answer(self, name, request, fields):
        now = time.time()
        with self.lock:
            self.asked.append((now, name))
            if request.startswith("e"):
                self.enrols[request] = self.enrols.get(request, 0) + 1
                return f"{request} DONE digest=e1,dated={int(now * 1000)},tell=pulled_far 2\r\nok\r\n".encode()
            key = (fields.get("item"), fields.get("chunk"))
            oldest = now - float(fields["accept"]) / 1000 if float(fields.get("accept", 0)) > 0 else 0
            dated, tell = self.copy(name, key, oldest, fields.get("parent"), now)
            if dated is None:
                return f"{request} LACK - 0\r\n\r\n".encode()
            self.served.append((now, key[0], dated, request))
        return f"{request} DONE digest=d{int(dated * 1000)},dated={int(dated * 1000)},tell={tell} 2\r\nok\r\n".encode()

    def copy(self, name, key, oldest, source, now):
        held = self.held[name].get(key, 0)
        if name == "s-origin":
            self.fills.append((now, name))
            return now, "local"
        if held and held >= oldest:
            return held, "local"
        if not source:
            return None, ""
        if source == name:
            source = "s-origin"
        self.fills.append((now, source))
        dated = now if source == "s-origin" else self.copy(source, key, oldest, "s-origin", now)[0]
        self.held[name][key] = dated
        return dated, "pulled"

    def forget(self):
        """The power is gone: no box has a copy left."""
        with self.lock:
            for held in self.held.values():
                held.clear()

    def most_in_a_second(self, source, since):
        times = sorted(at for at, name in self.fills if name == source and at >= since)
        most = first = 0
        for last, at in enumerate(times):
            while at - times[first] > 1:
                first += 1
            most = max(most, last - first + 1)
        return most


class ChangeLogs(Listeners):
    """One change log for each member, all of one story unless a test tells one of them alone."""

    def __init__(self, net, members):
        super().__init__()
        self.lock, self.events, self.down, self.conns = threading.Lock(), {}, set(), {}
        for index in range(members):
            self.events[index], self.conns[index] = [], []
            self.listen((f"{net}.252", 8000 + index), self.follow, index)
        threading.Thread(target=self.beat, daemon=True).start()

    def follow(self, conn, index):
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                if not (more := conn.recv(4096)):
                    return conn.close()
                head += more
            with self.lock:
                if index in self.down:
                    return conn.close()
                behind = int(head.split(b"Last-Event-ID:")[1].split(b"\r\n")[0])
                conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n")
                for seq, text in self.events[index]:
                    if seq > behind:
                        conn.sendall(text)
                self.conns[index].append(conn)
        except OSError:
            conn.close()
        return None

    def beat(self):
        """A comment each half second, as a sign of life."""
        while True:
            time.sleep(0.5)
            with self.lock:
                for conns in self.conns.values():
                    self.write(conns, b":\n\n")

    @staticmethod
    def write(conns, text):
        for conn in list(conns):
            try:
                conn.sendall(text)
            except OSError:
                conns.remove(conn)

    def tell(self, event, only=None):
        """To all, or to one member's log alone."""
        with self.lock:
            for index in [only] if only is not None else list(self.events):
                seq = len(self.events[index]) + 1
                body = json.dumps({"seq": seq, **event})
                text = f"id: {seq}\ndata: {body}\n\n".encode()
                self.events[index].append((seq, text))
                self.write(self.conns[index], text)

    def take_away(self, indices):
        with self.lock:
            for index in indices:
                self.down.add(index)
                for conn in self.conns[index]:
                    conn.close()
                self.conns[index] = []

    def bring_back(self, indices):
        with self.lock:
            self.down -= set(indices)
