"""A crowd of clients that take up a proxy's memory: they write slowly, stop half way or leave their responses unread.

Usage: crowd_clients.py PORT CLIENTS SECONDS HABIT; prints "ended" once it has let go of all its connections. A client whose
connection is closed comes again, a moment later.
"""
import heapq
import os
import select
import socket
import struct
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "daemon"))
from wire import dispatch  # noqa: E402

CROWD_IDS = 0xc0ffee0000000000  # the ids of a crowd's requests begin like this one's
WRITE_BYTES = 48_000
COME_AGAIN_S, TICK_S, PIECE_BYTES, PIECE_EVERY_S = 0.05, 0.01, 3_000, 0.02
FULL_OF_FIELDS = b"GET / HTTP/1.1\r\n" + b"".join(b"%x:1\r\n" % number for number in range(4000))


class Habit:
    """`writes`, `reads`: requests that are open at once. `half`: bytes that a write lacks. `reads_answers`: and sends
    another request for each. `leaves`: as soon as all is sent. `piece`: most bytes sent at a time. `head`: sent instead."""

    def __init__(self, writes=0, reads=0, half=0, reads_answers=True, leaves=False, piece=1 << 20, head=b""):
        self.writes, self.reads, self.half, self.reads_answers = writes, reads, half, reads_answers
        self.leaves, self.piece, self.head = leaves, piece, head


HABITS = {
    "writes": Habit(writes=32),
    "writes_and_reads": Habit(writes=8, reads=8),
    "unread": Habit(reads=32, reads_answers=False),
    "reads": Habit(reads=4),
    "half": Habit(writes=1, half=1_000),
    "pieces": Habit(writes=1, half=1_000, piece=PIECE_BYTES),
    "gone": Habit(writes=8, leaves=True),
    "some_writes": Habit(writes=8),
    "fields": Habit(head=FULL_OF_FIELDS),
}


class CrowdClient:
    requests = iter(range(CROWD_IDS, CROWD_IDS + (1 << 40)))

    def __init__(self, port, habit):
        self.habit, self.sequence, self.received, self.next_at = habit, 0, b"", 0.0
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", port))
        self.unsent = bytearray(habit.head)
        for number in range(habit.writes + habit.reads):
            self.add(write=number < habit.writes)
        if habit.half:
            del self.unsent[-habit.half:]

    def add(self, write):
        self.sequence += 1
        number = next(CrowdClient.requests)
        if write:
            self.unsent += dispatch(self.sequence, b"%016x" % number, b"", b"enrol", content=bytes(WRITE_BYTES))
        else:
            self.unsent += dispatch(self.sequence, b"%016x" % number, b"%016x" % (number % 4000), b"video")

    def write(self, now):
        """False: it leaves."""
        if now < self.next_at:
            return True
        self.next_at = now + PIECE_EVERY_S if self.habit.piece == PIECE_BYTES else now
        try:
            del self.unsent[:self.socket.send(memoryview(self.unsent)[:self.habit.piece])]
        except BlockingIOError:
            pass
        return bool(self.unsent) or not self.habit.leaves

    def read(self):
        """False: the connection has ended."""
        if not self.habit.reads_answers:
            return not self.socket.recv(1, socket.MSG_PEEK) == b""
        data = self.socket.recv(1 << 18)
        self.received += data
        while len(self.received) >= 4 and len(self.received) >= 4 + struct.unpack(">I", self.received[:4])[0]:
            self.received = self.received[4 + struct.unpack(">I", self.received[:4])[0]:]
            self.add(write=self.habit.writes > 0)
        return bool(data)

    def events(self):
        return (select.EPOLLIN if self.habit.reads_answers else select.EPOLLRDHUP) | (select.EPOLLOUT if self.unsent else 0)


class CrowdLoop:
    def __init__(self, port, count, habit):
        self.port, self.habit, self.clients, self.poll = port, habit, {}, select.epoll()
        self.coming = [0.0] * count

    def come(self, now):
        while self.coming and self.coming[0] <= now:
            heapq.heappop(self.coming)
            client = CrowdClient(self.port, self.habit)
            self.clients[client.socket.fileno()] = client
            self.poll.register(client.socket, client.events())

    def leave(self, descriptor, now):
        self.poll.unregister(descriptor)
        self.clients.pop(descriptor).socket.close()
        heapq.heappush(self.coming, now + COME_AGAIN_S)

    def run(self, seconds):
        end = time.monotonic() + seconds
        while (now := time.monotonic()) < end:
            self.come(now)
            for descriptor, events in self.poll.poll(TICK_S):
                client = self.clients[descriptor]
                try:
                    stays = not events & (select.EPOLLIN | select.EPOLLRDHUP) or client.read()
                    if stays and events & select.EPOLLOUT and client.unsent:
                        stays = client.write(now)
                    if not stays:
                        raise ConnectionError("it ends")
                    self.poll.modify(descriptor, client.events())
                except BlockingIOError:
                    pass
                except OSError:
                    self.leave(descriptor, now)
            if self.habit.piece == PIECE_BYTES:
                time.sleep(TICK_S)
        for client in self.clients.values():
            client.socket.close()


if __name__ == "__main__":
    CrowdLoop(int(sys.argv[1]), int(sys.argv[2]), HABITS[sys.argv[4]]).run(float(sys.argv[3]))
    print("ended", flush=True)
