#!/usr/bin/env python3
"""Requests that race with the close of a connection without open requests, checked from the clients' view.

Guards against a request that reached the proxy before its connection was closed and never gets a response. A request counts
as lost if its connection ends without a response, no FIN had arrived right after the write, and the proxy's kernel had
acknowledged its bytes (SIOCOUTQ is 0). A request that was never acknowledged crossed the close, and its client retries it.
Usage: connection_ends_test.py SUMACKEEL LIBRARY STORY [ROUNDS [CONNECTIONS [LOG_LEVEL]]]
"""
import fcntl
import random
import select
import signal
import socket
import struct
import sys
import termios
import threading
import time

from http_clients import SignedSetup
from rig import BOUND_S, Boxes, Failure, Proxy, want
from wire import dispatch, end_is_here, exactly, has_come, listening, ops_call, reply

SOCKETS = 8192          # socket limit of the proxy; a third is for clients
SIGNED_CONNECTIONS = 1200
RESTING = 300           # idle connections that have each had one response
SILENT = 200            # connections without any request
PATIENCE_S = 2.0        # timeout of the proxy for connections without a request
STEP_S = 0.0004         # between the first requests of two such connections
SIGTERM_TO_EXIT_S = 3.7
QUEUED = 100            # connections in the listen backlog
HELD_APART_S = 0.2      # delay between the check for unread bytes and the half-close
IN_BETWEEN_S = 0.1
# Where the process is paused during the sequence of check for unread bytes and half-close, and for how long; the client's
# kernel retransmits after 0.2 s.
PREEMPTED_AT = {"preempted": "receive_block", "preempted_behind_look": "dropped_look"}
PREEMPTED_S = 0.08
HELD_BEHIND_ANSWER_S = 0.1  # the kernel delays the last bytes of a response by at most 0.2 s
ANSWERED_AFTER_S = 0.5
LARGE_ANSWER = b"x" * 200_000  # mostly buffered at the proxy if the client has a small window
SMALL_WINDOW = 4096            # bytes
LARGE_ANSWERED_AFTER_S = 0.25


class PlatformFront:
    """Requests to the platform listener, which uses the inherited socket."""
    operator = folder = None
    pause_s = 0  # after each request, so that an admin API call falls between them

    def __init__(self, port):
        self.port, self.numbers = port, iter(range(0x5b0000000000, 1 << 48))

    def ask(self, conn, sequence):
        number = next(self.numbers)
        conn.sendall(dispatch(sequence, b"%016x" % number, b"%016x" % (number % 50)))

    def answer(self, conn):
        """Reads a response; returns whether further requests may follow. Raises if the connection ends before the response."""
        reply(conn)
        return True


class SignedFront:
    """Requests to the listener for signed URLs."""
    pause_s = 5e-5

    def __init__(self, program):
        self.setup = SignedSetup()
        self.folder = self.setup.folder
        self.operator = self.setup.operator + f"connections = {SIGNED_CONNECTIONS}\n"
        self.program, self.request, self.port = program, None, self.setup.port

    def ask(self, conn, _sequence):
        if not self.request:
            _, target, token = self.setup.links(self.program)
            self.request = (f"GET {target} HTTP/1.1\r\nHost: 127.0.0.1:{self.port}\r\n"
                            f"Authorization: Bearer {token}\r\n\r\n").encode()
        conn.sendall(self.request)

    def answer(self, conn):
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            head += exactly(conn, 1)
        head = head.lower()
        exactly(conn, int(head.split(b"content-length: ", 1)[1].split(b"\r\n", 1)[0]))
        return b"connection: close" not in head  # requests after such a response aren't processed (RFC 9112, 9.6)


class Request:
    """A request on its own connection, and whether that connection's FIN had arrived right after the write."""

    def __init__(self, front, conn, sequence):
        self.front, self.conn, self.acknowledged, self.was_last = front, conn, None, False
        try:
            front.ask(conn, sequence)
            self.end_was_here = end_is_here(conn)
        except OSError:
            self.end_was_here = True

    def is_answered(self):
        return not self.was_last and has_come(self.conn, select.POLLIN) and not end_is_here(self.conn)

    def finish(self):
        """Waits for the response or the close: "answered", "crossed" (not acknowledged, or the FIN had arrived) or "lost"."""
        if self.end_was_here:
            return "end was here"
        try:
            self.conn.settimeout(BOUND_S)
            self.was_last = not self.front.answer(self.conn)
            return "answered"
        except (OSError, ConnectionError):
            self.note_end()
            return "lost" if self.acknowledged else "crossed"

    def note_end(self):
        """Called when the FIN has arrived: it also acknowledges what was in the proxy's receive buffer before it."""
        if self.acknowledged is None:
            self.acknowledged = unacknowledged(self.conn) == 0


class EndWatch(threading.Thread):
    """Records for each request, as soon as its connection's FIN arrives, whether its bytes had been acknowledged."""

    def __init__(self):
        super().__init__(daemon=True)
        self.poll, self.requests, self.going, self.seen_end = select.epoll(), {}, True, False
        self.start()

    def add(self, request):
        fd = request.conn.fileno()
        known = fd in self.requests
        self.requests[fd] = request
        if not known:
            self.poll.register(request.conn, select.EPOLLRDHUP)

    def run(self):
        while self.going:
            for fd, _ in self.poll.poll(0.02):
                self.requests[fd].note_end()
                self.poll.unregister(fd)
                self.seen_end = True

    def stop(self):
        self.going = False
        self.join()
        self.poll.close()


def unacknowledged(conn):
    """Number of written bytes that the peer's kernel has not acknowledged."""
    return struct.unpack("i", fcntl.ioctl(conn, termios.TIOCOUTQ, bytes(4)))[0]


def connect(port, window=None):
    """`window`: size of the client's receive buffer in bytes; None leaves it to the kernel."""
    conn = socket.socket()
    if window:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
    conn.settimeout(BOUND_S)
    conn.connect(("127.0.0.1", port))
    return conn


def resting(front, count):
    """Idle connections that have each had one response."""
    found = []
    for _ in range(count):
        found.append(connect(front.port))
        front.ask(found[-1], 1)
    for conn in found:
        front.answer(conn)
    return found


class Scene:
    """One process of the program on an inherited socket, and the event that closes its connections: SIGTERM or a drain."""

    def __init__(self, program, library, event, signed=False, faults="", log_level="info", delay=0, content=b"ok"):
        self.program, self.library, self.event, self.faults, self.log_level = program, library, event, faults, log_level
        self.boxes, self.socket, self.proxy = Boxes(delay, content=content), listening(), None
        self.front = SignedFront(program) if signed else PlatformFront(self.socket.getsockname()[1])
        self.draw = random.Random(event)

    def begin(self):
        """Ensures a serving process without an active drain."""
        if self.proxy and self.event == "drain":
            want(self.proxy.call("/ops/drain/stop")[0] == 200, "the drain was not stopped")
        elif self.proxy:
            self.leave()
        if not self.proxy:
            self.proxy = Proxy(self.program, self.library, self.boxes.at, self.faults, inherited=self.socket,
                               log_level=self.log_level, change=with_room, operator=self.front.operator,
                               folder=self.front.folder)
        end = time.monotonic() + BOUND_S
        while ops_call(self.proxy.ops, "GET", "/ops/readiness") != 200:
            want(time.monotonic() < end, f"not ready: {self.proxy.said()[-300:]}")
            time.sleep(0.02)

    def wait_until_accepted(self, count):
        """Connections in the backlog of an inherited socket at SIGTERM are left to the next process, hence the wait."""
        end = time.monotonic() + BOUND_S
        while f"gw_connections {count}\n" not in (said := self.proxy.call("/ops/stats", "GET")[1]):
            want(time.monotonic() < end, f"{count} connections are not accepted: {said!r}")
            time.sleep(0.005)

    def fire(self):
        if self.event == "sigterm":
            self.proxy.process.send_signal(signal.SIGTERM)
        else:
            want(self.proxy.call("/ops/drain/start")[0] == 200, "the drain got no yes")

    def fire_meanwhile(self):
        thread = threading.Thread(target=self.fire)
        thread.start()
        return thread

    def leave(self):
        proxy, self.proxy = self.proxy, None
        if not proxy:
            return
        end = time.monotonic() + (SIGTERM_TO_EXIT_S if self.event == "sigterm" else 0)
        while proxy.process.poll() is None and time.monotonic() < end:
            time.sleep(0.01)
        proxy.end(keep_folder=bool(self.front.folder))

    def close(self):
        self.leave()
        if self.front.folder:
            self.front.folder.cleanup()
        self.socket.close()
        self.boxes.listener.close()


def with_room(settings):
    settings["limits"]["sockets"] = SOCKETS


def play(scene, rounds, one_round):
    """Runs the rounds and counts their requests by outcome; none may be lost."""
    counts = {}
    try:
        for _ in range(rounds):
            scene.begin()
            found = one_round(scene)
            for what in found:
                counts[what] = counts.get(what, 0) + 1
            if "lost" in found:
                print(f"a round lost {found.count('lost')}", flush=True)
    finally:
        scene.close()
    print(f"{rounds} rounds, {scene.event}: {dict(sorted(counts.items()))}")
    want("lost" not in counts, f"{counts.get('lost')} lost")


def write_to_resting(count):
    """Writes one request on each of `count` idle connections in sequence, with the event at a randomly chosen one."""
    def one_round(scene):
        conns, watch = resting(scene.front, count), EndWatch()
        fired_at, firing, requests = scene.draw.randrange(count // 4), None, []
        for number, conn in enumerate(conns):
            if number == fired_at:
                firing = scene.fire_meanwhile()
            requests.append(Request(scene.front, conn, 2))
            watch.add(requests[-1])
            if scene.front.pause_s:
                time.sleep(scene.front.pause_s)
        found = ask_again_until_end(scene.front, watch, requests)
        return found + finish(firing, watch, requests)
    return one_round


def ask_again_until_end(front, watch, requests):
    """If the event takes effect late, sends further requests on connections that have had their response."""
    found, sequence, last_pass, end = [], 2, False, time.monotonic() + BOUND_S
    while not last_pass:
        want(time.monotonic() < end, "no connection ended while requests were written")
        last_pass = watch.seen_end
        sequence += 1
        for place, request in enumerate(requests):
            if request.is_answered():
                found.append(request.finish())
                if request.was_last:
                    continue
                requests[place] = Request(front, request.conn, sequence)
                watch.add(requests[place])
    return found


def write_first_requests(count):
    """Writes the first request on each of `count` unused connections around the time the proxy's idle timeout expires."""
    def one_round(scene):
        conns, watch = [connect(scene.front.port) for _ in range(count)], EndWatch()
        connected = time.monotonic()
        scene.wait_until_accepted(count)
        scene.fire()
        start = connected + PATIENCE_S - 0.09 + scene.draw.uniform(0, 0.06)
        time.sleep(max(0.0, start - time.monotonic()))
        requests = []
        for conn in reversed(conns):  # the proxy closes the oldest first
            requests.append(Request(scene.front, conn, 1))
            watch.add(requests[-1])
            time.sleep(STEP_S)
        return finish(None, watch, requests)
    return one_round


def finish(firing, watch, requests):
    if firing:
        firing.join()
    found = [request.finish() for request in requests if not request.was_last]
    watch.stop()
    for request in requests:
        request.conn.close()
    return found


def held_apart(scene, in_between_s=IN_BETWEEN_S):
    """The half-close takes effect some time after its call, or after the start of the step that it ends: a request written
    in between is not acknowledged."""
    conn, watch = resting(scene.front, 1)[0], EndWatch()
    firing = scene.fire_meanwhile()
    time.sleep(in_between_s)
    request = Request(scene.front, conn, 2)
    watch.add(request)
    return finish(firing, watch, [request])


def behind_answer(scene):
    """A request is open when the event occurs; the next one is written as soon as its response arrives."""
    conn, watch = connect(scene.front.port), EndWatch()
    scene.front.ask(conn, 1)
    time.sleep(IN_BETWEEN_S)
    firing = scene.fire_meanwhile()
    scene.front.answer(conn)
    request = Request(scene.front, conn, 2)
    watch.add(request)
    return finish(firing, watch, [request])


def behind_unread_answer(scene):
    """Two requests are open when the event occurs. The client has read one response, and of the other, the last on its
    connection, only as much as fits its receive window; then it writes its next request and reads on."""
    conn, watch = connect(scene.front.port, SMALL_WINDOW), EndWatch()
    for sequence in (1, 2):
        scene.front.ask(conn, sequence)
    time.sleep(IN_BETWEEN_S)
    firing = scene.fire_meanwhile()
    scene.front.answer(conn)
    want(select.select([conn], [], [], BOUND_S)[0], "nothing of the second answer came")
    time.sleep(IN_BETWEEN_S)  # by now the proxy has decided to close the connection
    request = Request(scene.front, conn, 3)
    watch.add(request)
    try:
        scene.front.answer(conn)
        found = ["answered"]
    except (OSError, ConnectionError):
        found = ["lost"]
    return found + finish(firing, watch, [request])


def left_in_queue(scene):
    """At SIGTERM the backlog holds more connections with a request than one event loop iteration accepts."""
    process, watch = scene.proxy.process, EndWatch()
    process.send_signal(signal.SIGSTOP)
    requests = [Request(scene.front, connect(scene.front.port), 1) for _ in range(QUEUED)]
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGCONT)
    scene.begin()
    return finish(None, watch, requests)


def forced(scene, one_round, expected):
    try:
        scene.begin()
        found = one_round(scene)
    finally:
        scene.close()
    want(found == expected, f"the requests that cross the end: {found}")


def run_story(program, library, name, rounds, count, log_level):
    kind, event = name.rsplit("_", 1)
    if kind == "forced":
        scene = Scene(program, library, event, faults=f"shutdown=WAIT{HELD_APART_S}/1")
        return forced(scene, held_apart, ["crossed"])
    if kind in PREEMPTED_AT:
        scene = Scene(program, library, event, faults=f"{PREEMPTED_AT[kind]}=WAIT{PREEMPTED_S}/1")
        return forced(scene, lambda started: held_apart(started, PREEMPTED_S / 2), ["answered"])
    if kind == "answered":
        scene = Scene(program, library, event, faults=f"shutdown=WAIT{HELD_BEHIND_ANSWER_S}/1", delay=ANSWERED_AFTER_S)
        return forced(scene, behind_answer, ["end was here"])
    if kind == "unread":
        scene = Scene(program, library, event, delay=LARGE_ANSWERED_AFTER_S, content=LARGE_ANSWER)
        return forced(scene, behind_unread_answer, ["answered", "answered"])
    if kind == "queued":
        return forced(Scene(program, library, event), left_in_queue, ["answered"] * QUEUED)
    one_round = write_first_requests(count or SILENT) if kind == "silent" else write_to_resting(count or RESTING)
    return play(Scene(program, library, event, kind == "signed", log_level=log_level), rounds, one_round)


def main():
    program, library, name = sys.argv[1:4]
    rounds = int(sys.argv[4]) if len(sys.argv) > 4 else 4
    count = int(sys.argv[5]) if len(sys.argv) > 5 else 0
    log_level = sys.argv[6] if len(sys.argv) > 6 else "info"
    try:
        run_story(program, library, name, rounds, count, log_level)
    except Failure as why:
        print(f"FAIL: {why}\n0 passed, 1 failed")
        sys.exit(1)
    print("1 passed, 0 failed")


if __name__ == "__main__":
    main()
