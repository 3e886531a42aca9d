"""Bad clients of the platform, as LATER.md lists them: each sends hundreds of requests at once, of a class that does not
exist, and hundreds more, at full speed, and reads whatever it is sent. With `again` it sends the next ones only as soon as
all of the last ones are turned away.

Usage: bad_clients.py HOST PORT CLIENTS REQUESTS SECONDS [again]; prints how many requests were turned away.
"""
import select
import socket
import struct
import sys
import time

from standins import call_frame, exactly

SEQUENCE_AT = 4 + 4 + 4 + len("dispatch")  # the place of the sequence number in a frame


class BadClient:
    def __init__(self, at, number, requests, waits):
        self.requests, self.waits, self.sequence, self.turned_away, self.received = requests, waits, 1, 0, 0
        self.socket = socket.create_connection(at, timeout=5)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.frame = call_frame(1, {"kind": "nothing", "req": f"{0xbad0000000000000 + number:016x}", "timeout": "3000",
                                    "subject": "0" * 16, "slice": "0", "set": "17", "need": "40"})
        # All of these answers are alike, so that counting bytes counts them.
        self.socket.sendall(self.next_frames(1))
        self.answer_size = 4 + struct.unpack(">I", exactly(self.socket, 4))[0]
        exactly(self.socket, self.answer_size - 4)
        self.socket.setblocking(False)
        self.unsent = self.next_frames(requests)

    def next_frames(self, count):
        frames, size = bytearray(self.frame * count), len(self.frame)
        for number in range(count):
            struct.pack_into(">i", frames, number * size + SEQUENCE_AT, self.sequence + number)
        self.sequence += count
        return memoryview(frames)

    def write(self):
        self.unsent = self.unsent[self.socket.send(self.unsent):]
        if not self.unsent and not self.waits:
            self.unsent = self.next_frames(self.requests)

    def read(self):
        data = self.socket.recv(1 << 18)
        if not data:
            raise ConnectionError("closed")
        self.received += len(data)
        self.turned_away = self.received // self.answer_size
        if self.waits and not self.unsent and self.turned_away == self.sequence - 2:  # all but the first one
            self.unsent = self.next_frames(self.requests)
            self.write()


def main():
    host, port, count, requests, seconds = sys.argv[1], *(int(word) for word in sys.argv[2:5]), float(sys.argv[5])
    poll, open_ones, turned_away, waits = select.epoll(), {}, 0, sys.argv[6:] == ["again"]
    for number in range(count):
        client = BadClient((host, port), number, requests, waits)
        open_ones[client.socket.fileno()] = client
        poll.register(client.socket, select.EPOLLIN | select.EPOLLOUT)
    print("connected", flush=True)
    sys.stdin.readline()  # all begin together
    end = time.monotonic() + seconds
    while time.monotonic() < end and open_ones:
        for descriptor, events in poll.poll(0.01):
            client = open_ones[descriptor]
            try:
                if events & select.EPOLLIN:
                    client.read()
                if events & select.EPOLLOUT and client.unsent:
                    client.write()
                poll.modify(descriptor, select.EPOLLIN | (select.EPOLLOUT if client.unsent else 0))
            except BlockingIOError:
                pass
            except OSError:
                poll.unregister(descriptor)
                turned_away += open_ones.pop(descriptor).turned_away
                client.socket.close()
    print(turned_away + sum(client.turned_away for client in open_ones.values()), flush=True)


main()
