"""Clients that send requests at full speed and read whatever they are sent; they expect nothing of their answers.

Usage: flood_clients.py PORT CLIENTS SECONDS endless|waiting; waiting clients send more once all is answered. Prints
"connected", begins once it has read a line, and prints how many bytes it was sent.
"""
import os
import select
import socket
import struct
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "daemon"))
from wire import BOUND_S, dispatch, exactly  # noqa: E402

REQUESTS_AT_ONCE = 300
SEQUENCE_AT = 4 + 4 + 4 + len("dispatch")  # position of the sequence number in a frame


class PlatformRequests:
    """Requests of a class that does not exist; sequence numbers have to rise."""

    def __init__(self, number):
        self.frame, self.sequence = dispatch(0, b"%016x" % (0xbad0000000000000 + number), b"0" * 16, b"nothing"), 0

    def next(self):
        size = len(self.frame)
        frames = bytearray(self.frame * REQUESTS_AT_ONCE)
        for place in range(REQUESTS_AT_ONCE):
            self.sequence += 1
            struct.pack_into(">i", frames, place * size + SEQUENCE_AT, self.sequence)
        return frames


    def next_one(self):
        self.sequence += 1
        struct.pack_into(">i", frame := bytearray(self.frame), SEQUENCE_AT, self.sequence)
        return frame


class FloodClient:
    """`waits`: it sends more only once all that it has sent is answered."""

    def __init__(self, port, number, waits):
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=BOUND_S)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.requests = PlatformRequests(number)
        self.socket.sendall(self.requests.next_one())
        self.answer_size = 4 + struct.unpack(">I", exactly(self.socket, 4))[0]
        exactly(self.socket, self.answer_size - 4)
        self.socket.setblocking(False)
        self.waits, self.unsent, self.received, self.expected = waits, memoryview(b""), 0, 0
        self.send_more()

    def send_more(self):
        self.unsent = memoryview(self.requests.next())
        self.expected += REQUESTS_AT_ONCE * self.answer_size

    def write(self):
        self.unsent = self.unsent[self.socket.send(self.unsent):]
        if not self.unsent and not self.waits:
            self.send_more()

    def read(self):
        data = self.socket.recv(1 << 18)
        if not data:
            raise ConnectionError("closed")
        self.received += len(data)
        if self.waits and not self.unsent and self.received == self.expected:
            self.send_more()

    def events(self):
        return select.EPOLLIN | (select.EPOLLOUT if self.unsent else 0)


def main():
    port, count, seconds, waits = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), sys.argv[4] == "waiting"
    clients = {}
    poll = select.epoll()
    for number in range(count):
        client = FloodClient(port, number, waits)
        clients[client.socket.fileno()] = client
        poll.register(client.socket, client.events())
    received = 0
    print("connected", flush=True)
    sys.stdin.readline()
    end = time.monotonic() + seconds
    while time.monotonic() < end and clients:
        for descriptor, events in poll.poll(0.01):
            client = clients[descriptor]
            try:
                if events & select.EPOLLIN:
                    client.read()
                if events & select.EPOLLOUT and client.unsent:
                    client.write()
                poll.modify(descriptor, client.events())
            except BlockingIOError:
                pass
            except OSError:
                poll.unregister(descriptor)
                del clients[descriptor]
                received += client.received
                client.socket.close()
    print(received + sum(client.received for client in clients.values()), flush=True)


main()
