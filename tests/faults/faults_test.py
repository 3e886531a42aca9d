#!/usr/bin/env python3
"""Fault injection on a real process: failing library calls, wall clock steps and process pauses.

Usage: faults_test.py SUMACKEEL LIBRARY STORY
"""
import os
import random
import signal
import socket
import subprocess
import threading
import time
from collections import Counter

from rig import BOUND_S, FAILED, REFUSED, SERVED, Boxes, Crowd, Proxy, Talking, bans_of, keep_ban, listening, run_story, want
from wire import dispatch

ACCEPT_ERRORS = "ECONNABORTED+ENFILE+ENOBUFS+EMFILE+EPROTO+EINTR"
HOUR = 3600
BOX_DELAY_S = 0.03  # responses are delayed so that requests are in flight when a fault occurs


def play(program, library, faults, seconds, judge, during=None, **more):
    """Sends client load for `seconds` of the process's own time; `judge` is called with the clients and the proxy."""
    boxes = Boxes(BOX_DELAY_S)
    proxy = Proxy(program, library, boxes.at, faults, **more)
    try:
        proxy.ready()
        crowd = Crowd(proxy.port)
        if during:
            during(proxy)
        proxy.wait_until(seconds)
        crowd.stop()
        print(f"{faults or 'no fault'}: {crowd.told()}")
        judge(crowd, proxy)
    finally:
        proxy.end()


def nothing_refused(crowd, _proxy):
    want(not crowd.lost(), f"lost: {crowd.lost()[:3]}")
    want(crowd.count(SERVED) > 100, "hardly anything served")
    want(crowd.count(REFUSED) + crowd.count(FAILED) == 0, "refused or failed while no server fails")


def clock_steps(program, library):
    """Deadlines, timeouts and health are unaffected by wall clock steps, forwards or backwards, of seconds or an hour."""
    for step in (5, HOUR, -5, -HOUR):
        play(program, library, f"clock={step}@3", 4.5, nothing_refused)


def accept_fails(program, library):
    """Connections pending in the listen backlog survive failing accept calls and are accepted afterwards."""
    def nothing_lost(crowd, _proxy):
        want(not crowd.lost(), f"lost: {crowd.lost()[:3]}")
        want(crowd.count(SERVED) > 100, "hardly anything served")
        want(crowd.count(REFUSED) + crowd.count(FAILED) == 0, "refused or failed while no server fails")
    play(program, library, f"accept={ACCEPT_ERRORS}/12", 4, nothing_lost)
    for error in ACCEPT_ERRORS.split("+") + ["ENOMEM", "ENETDOWN", "EPERM"]:
        play(program, library, f"accept={error}/3", 1.5, nothing_lost)


def accept_stands_still(program, library):
    """Every accept fails for one second: no busy loop, no server is marked as failed, and all clients are served afterwards."""
    spent = []

    def measure(proxy):
        proxy.wait_until(2.1)
        before = proxy.cpu_seconds()
        proxy.wait_until(2.9)
        spent.append(proxy.cpu_seconds() - before)

    def judge(crowd, proxy):
        want(not crowd.lost(), f"lost: {crowd.lost()[:3]}")
        want("breaker open" not in proxy.said(), "a server that never failed was blamed")
        want(crowd.count(REFUSED) + crowd.count(FAILED) == 0, "refused or failed while no server fails")
        late = [took for client in crowd.all if not client.fresh for _, took, _ in client.answers if took > 0.5]
        want(not late, f"open connections stood still: {late[:3]}")
        print(f"CPU of the 0.8 s in the middle: {spent[0]:.2f} s")
    play(program, library, "accept=ENFILE/1@2-3", 4.5, judge, measure)
    play(program, library, "accept=ENOBUFS/1@2-3", 4.5, judge, measure)


def socket_at_start(program, library):
    """A temporary lack of descriptors delays startup; a permanent error ends it with status 2 and one line of output."""
    for faults in ("socket=ENFILE/1@0-1", "socket=EMFILE+ENOBUFS+ENOMEM/1@0-1"):
        play(program, library, faults, 2, nothing_refused)
    boxes = Boxes()
    first = Proxy(program, library, boxes.at)
    try:
        first.ready()
        second = Proxy(program, library, boxes.at, change=lambda s: s.update(listen=f"127.0.0.1:{first.port}"))
        began = time.monotonic()
        status = second.process.wait(10)
        lines = second.said().strip().splitlines()
        second.folder.cleanup()
        want(status == 2 and len(lines) == 1 and time.monotonic() - began < 2,
             f"an address in use: status {status}, {lines}")
    finally:
        first.end()


def process_stands_still(program, library):
    """After the process was stopped for a second, it doesn't attribute the pause to any server."""
    def stop(proxy):
        proxy.wait_until(1.5)
        proxy.process.send_signal(signal.SIGSTOP)
        time.sleep(1.2)
        proxy.process.send_signal(signal.SIGCONT)
        proxy.continued = time.monotonic()

    def judge(crowd, proxy):
        want(not crowd.lost(), f"lost: {crowd.lost()[:3]}")
        want("breaker open" not in proxy.said(), "a server that never failed was blamed")
        after = crowd.count(REFUSED, proxy.continued + 0.1) + crowd.count(FAILED, proxy.continued + 0.1)
        want(after == 0, f"{after} refused or failed after the pause")
        want(crowd.count(SERVED, proxy.continued + 0.1) > 50, "hardly anything served after the pause")
    play(program, library, "", 4.5, judge, stop)


DISK_ERRORS = ("write=ENOSPC/1@1-4", "write=ENOSPC+EIO/2@1-4", "fsync=EIO/1@1-4", "rename=EIO/1@1-4",
               "open=EMFILE/1@1-4")


def hand_over_fails(program, library):
    """A ban set while the handover directory fails reaches the successor process, also if this process is killed
    right after it reported the ban as stored."""
    for faults in DISK_ERRORS:
        boxes = Boxes()
        first = Proxy(program, library, boxes.at, faults, under="sumackeel")
        first.ready()
        first.wait_until(2)
        status, said = first.call("/ops/pop-caches/down/s-a")
        want(status == 200, f"{faults}: the ban got {status}")
        want("not kept" in said, f"{faults}: told yes and not that it is not kept: {said!r}")
        first.wait_until(5)
        first.kill()
        second = Proxy(program, library, boxes.at, folder=first.folder)
        try:
            second.ready()
            want(bans_of(second) == "1", f"{faults}: the ban was forgotten")
        finally:
            second.end()
        print(f"{faults}: kept")


def hand_over_unreadable(program, library):
    """A process that can't read the handover in its first seconds waits for it and doesn't lose a ban."""
    boxes = Boxes()
    first = Proxy(program, library, boxes.at)
    first.ready()
    want(first.call("/ops/pop-caches/down/s-a") == (200, "down s-a\n"), "the ban was refused")
    first.kill()
    for unreadable_for in (1.5, 4.5):
        second = Proxy(program, library, boxes.at, f"open=ENFILE/1@0-{unreadable_for}", under="sumackeel", folder=first.folder)
        while second.call("/ops/readiness", "GET")[0] == 0:
            time.sleep(0.01)
        status, said = second.call("/ops/pop-caches/down/s-b")  # before the handover is read: both bans are merged
        want(status == 200 and "not kept" in said, f"a ban before the hand-over was read: {status} {said!r}")
        second.ready()
        second.wait_until(unreadable_for + 0.7)
        want(bans_of(second) == "2", f"a ban was forgotten: {second.said()}")
        second.end(keep_folder=True)
        third = Proxy(program, library, boxes.at, folder=first.folder)
        third.ready()
        want(bans_of(third) == "2", f"a ban was forgotten over the next start: {third.said()}")
        want(third.call("/ops/pop-caches/up/s-b") == (200, "up s-b\n"), "the ban was not taken back")
        third.end(keep_folder=True)
    first.folder.cleanup()


def want_ban_kept(program, talking, faults):
    """The newest file of the recovery directory has the ban."""
    shown = subprocess.run([program, "recovery", "verify", os.path.join(talking.folder.name, "kept")], check=False,
                           capture_output=True, text=True).stdout
    want(", 1 bans" in shown.splitlines()[0], f"{faults}: the ban is not in the newest file: {shown!r}")


def recovery_folder_fails(program, library):
    """Pending writes to the recovery directory are done once it works again, without a further call to trigger them. A call
    whose reply doesn't say that its effect is not kept has it on disk: with one failure in two calls a write may succeed."""
    for faults in DISK_ERRORS:
        boxes, talking = Boxes(), Talking()
        first = talking.start(program, library, boxes, faults.replace("@1-4", "@5-8"), "kept")
        first.wait_until(6)
        status, said = first.call("/ops/pop-caches/down/s-a")
        may_be_kept = "/1@" not in faults  # not every call fails
        want(status == 200 and ("not kept" in said or may_be_kept), f"{faults}: {status} {said!r}")
        if "not kept" not in said:
            want_ban_kept(program, talking, faults)
        first.wait_until(10)
        first.kill()
        want_ban_kept(program, talking, faults)
        talking.folder.cleanup()
        print(f"{faults}: kept")


def start_number_of(talking):
    with open(os.path.join(talking.folder.name, "state", "start"), encoding="utf-8") as file:
        return int(file.read().split()[2])


def folders_fail_at_start(program, library):
    """Startup with directories that can't be read or written for two seconds loses neither a ban nor the start number."""
    for faults in ("open=EIO/1@0-2", "write=ENOSPC/1@0-2", "fsync=EIO/1@0-2", "rename=EIO+ENOSPC/1@0-2"):
        for under in ("state", "kept"):
            boxes, talking = Boxes(), Talking()
            first = talking.start(program, library, boxes)
            keep_ban(first)
            first.kill()
            before = start_number_of(talking)
            second = talking.start(program, library, boxes, faults, under)
            try:
                want(bans_of(second) == "1", f"{faults}: the ban was forgotten: {second.said()}")
                want(start_number_of(talking) > before, f"{faults}: start {start_number_of(talking)} behind {before}")
            finally:
                second.end()
            print(f"{faults} under {under}: known")


def many_caches(settings):
    """Enough pop caches that requests keep being routed to some without an open connection."""
    hosts = settings["known"]["results"][0]["fleet"]["hosts"]
    hosts += [dict(hosts[0], host=f"s-{number:03d}") for number in range(200)]


def own_shortage(program, library):
    """A temporary lack of descriptors in this process isn't counted as a failure of the pop caches it was connecting to."""
    for error in ("ENFILE", "ENOBUFS", "EMFILE", "ENOMEM"):
        boxes = Boxes(BOX_DELAY_S)
        proxy = Proxy(program, library, boxes.at, f"socket={error}/1@2-2.8", change=many_caches)
        try:
            proxy.ready()
            proxy.wait_until(2.0)
            crowd = Crowd(proxy.port)
            proxy.wait_until(4.5)
            crowd.stop()
            print(f"{error}: {crowd.told()}")
            after = proxy.began + 3.3
            want(not crowd.lost(), f"lost: {crowd.lost()[:3]}")
            want("breaker open" not in proxy.said(), "a server that never failed was blamed")
            want(crowd.count(REFUSED, after) + crowd.count(FAILED, after) == 0, "refused or failed once it was over")
            want(crowd.count(SERVED, after) > 20, "hardly anything served once it was over")
        finally:
            proxy.end()


def server_connections_break(program, library):
    """Reads and writes on pop cache connections fail with each error of a broken connection: every request gets a
    response, and a non-idempotent request that may have been executed isn't sent again."""
    boxes = Boxes(BOX_DELAY_S)
    port = boxes.at.rsplit(":", 1)[1]
    for faults in ("read=ETIMEDOUT+EHOSTUNREACH+ECONNRESET/20", "write=ETIMEDOUT+EPIPE+EHOSTUNREACH/20"):
        boxes.seen.clear()
        proxy = Proxy(program, library, boxes.at, faults, env={"FAULTS_PEER": port})
        try:
            proxy.ready()
            reads, enrols = Crowd(proxy.port), Crowd(proxy.port, 4, kind=b"enrol")
            proxy.wait_until(4)
            reads.stop(), enrols.stop()
            print(f"{faults}: {reads.told()}; enrol: {enrols.told()}")
            want(not reads.lost() and not enrols.lost(), f"lost: {reads.lost()[:3]} {enrols.lost()[:3]}")
            want(reads.count(SERVED) > 100, "hardly anything served")
            often = Counter(request for _, request, fields in boxes.seen if fields["cls"] == "enrol")
            want(max(often.values()) == 1, f"enrol went out twice: {often.most_common(2)}")
        finally:
            proxy.end()


class Recorder:
    """A pop cache that answers BROKE after a delay, or never, and records when each attempt was in flight."""

    def __init__(self):
        self.listener, self.lock, self.out = listening(), threading.Lock(), {}
        self.at = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            conn, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        with conn, conn.makefile("rb") as lines:
            while line := lines.readline():
                words = line.decode().split()
                if words and words[0] == "STOP":
                    self.ended(words[1])
                if not words or words[0] != "REQ":
                    continue
                lines.read(int(words[3]) + 2)
                with self.lock:
                    self.out.setdefault(words[1], []).append([time.monotonic(), None])
                if int(words[1], 16) % 2 == 0:  # the others are never answered
                    time.sleep(BOX_DELAY_S)
                    self.ended(words[1])
                    conn.sendall(f"{words[1]} BROKE - 0\r\n\r\n".encode())

    def ended(self, request):
        with self.lock:
            for attempt in self.out.get(request, []):
                attempt[1] = attempt[1] or time.monotonic()


def attempts_are_bounded(program, library):
    """With hedging disabled and three attempts allowed, no two attempts overlap and there is no fourth."""
    def change(settings):
        settings["settings"]["limits"].update(second_copies=False, most_tries=3)
    boxes = Recorder()
    proxy = Proxy(program, library, boxes.at, change=change)
    try:
        proxy.ready()
        crowd = Crowd(proxy.port)
        proxy.wait_until(6)
        crowd.stop()
        print(crowd.told(), f"{sum(len(one) for one in boxes.out.values())} attempts of {len(boxes.out)} requests")
        want(not crowd.lost(), f"lost: {crowd.lost()[:3]}")
        want(max(len(one) for one in boxes.out.values()) <= 3, "a fourth try")
        want(any(len(one) > 1 for one in boxes.out.values()), "nothing was tried again")
        slack = 0.02  # start and end are recorded by different threads of this test
        both = [one for one in boxes.out.values() for a, b in zip(one, one[1:]) if a[1] is None or b[0] < a[1] - slack]
        want(not both, f"two out at once: {both[:2]}")
    finally:
        proxy.end()


TIMEOUT_S, LIMIT_SLACK_S = 3.0, 0.15
READINGS = 16  # clock readings after a read; calls.cpp stops the process before each of them in turn


def is_stopped(process):
    with open(f"/proc/{process.pid}/stat", encoding="utf-8") as stat:
        return stat.read().rsplit(")", 1)[1].split()[0] == "T"


class Resumer(threading.Thread):
    """Resumes a stopped process `pause` seconds after each stop, until it is told to end."""

    def __init__(self, process, pause):
        super().__init__(daemon=True)
        self.process, self.pause, self.stops, self.going = process, pause, 0, True
        self.start()

    def run(self):
        while self.going:
            if is_stopped(self.process):
                time.sleep(self.pause)
                self.stops += 1
                self.process.send_signal(signal.SIGCONT)
            time.sleep(0.005)

    def end(self):
        self.going = False
        self.join(BOUND_S)


def limit_behind_pause(program, library):
    """The time limit sent to a pop cache is the time the client has left when it is written, also if the process was stopped
    while the connection was established, right after reading the request, or before any later reading of the clock."""
    for faults, pause, least_stops in (("connect=STOP/100@2-30", 0.8, 6), ("read_done=STOP/1500@2-30", 0.8, 3),
                                       ("clock_read=STOP/40@2-30", 0.3, 3 * READINGS)):
        boxes = Boxes(once=True)  # so that each request has to wait for a new connection
        proxy = Proxy(program, library, boxes.at, faults)
        resumer = Resumer(proxy.process, pause)
        try:
            proxy.ready()
            proxy.wait_until(2.0)
            crowd = Crowd(proxy.port, 4, kind=b"enrol")
            while proxy.since_start() < 25 and resumer.stops < least_stops:
                time.sleep(0.05)
            crowd.stop()
            asked = {ident: when for client in crowd.all for ident, when in client.asked.items()}
            over = [when + int(fields["limit"]) / 1000 - asked[request] - TIMEOUT_S for when, request, fields in boxes.seen
                    if request in asked]
            print(f"{faults}: {crowd.told()}, {resumer.stops} pauses, limits over the client's time by {max(over):.2f} s "
                  "at the most")
            want(resumer.stops >= least_stops, f"it stopped {resumer.stops} times alone")
            want(not crowd.lost(), f"lost: {crowd.lost()[:3]}")
            want(max(over) <= LIMIT_SLACK_S, f"a limit {max(over):.2f} s over what its client had left")
        finally:
            resumer.end()
            proxy.process.send_signal(signal.SIGCONT)
            proxy.end()


LEFT_S, LEAVES_WITHIN_S = 0.1, 0.02


class Leaver(threading.Thread):
    """Sends each request on a new connection and closes it early; `left` holds the closing times."""

    def __init__(self, port, place):
        super().__init__(daemon=True)
        self.port, self.going, self.left = port, True, {}
        self.draw, self.first = random.Random(place), place << 32
        self.start()

    def run(self):
        number = self.first
        while self.going:
            number += 1
            ident = b"%016x" % number
            try:
                with socket.create_connection(("127.0.0.1", self.port), timeout=BOUND_S) as conn:
                    conn.sendall(dispatch(1, ident, b"%016x" % (number * 7919), b"sheet"))
                    time.sleep(self.draw.uniform(0, LEAVES_WITHIN_S))
            except OSError:
                continue
            self.left[ident.decode()] = time.monotonic()


def left_behind_pause(program, library):
    """No attempt starts for a client that disconnected while the process was stopped, whichever clock reading after a read it
    was stopped at."""
    boxes = Boxes()
    proxy = Proxy(program, library, boxes.at, "clock_read=STOP/300@2-60")
    resumer = Resumer(proxy.process, 0.3)
    try:
        proxy.ready()
        proxy.wait_until(2.0)
        leavers = [Leaver(proxy.port, place) for place in range(1, 9)]
        while proxy.since_start() < 40 and resumer.stops < 4 * READINGS:
            time.sleep(0.05)
        for leaver in leavers:
            leaver.going = False
        for leaver in leavers:
            leaver.join(BOUND_S)
        left = {ident: when for leaver in leavers for ident, when in leaver.left.items()}
        late = [(request, when - left[request]) for when, request, _ in boxes.seen if when > left.get(request, when) + LEFT_S]
        print(f"{resumer.stops} pauses, {len(left)} clients left, {len(boxes.seen)} attempts, begun too late: {late}")
        want(resumer.stops >= 4 * READINGS, f"it stopped {resumer.stops} times alone")
        want(not late, f"begun for clients that had left: {late[:3]}")
    finally:
        resumer.end()
        proxy.process.send_signal(signal.SIGCONT)
        proxy.end()


FORGET_AFTER_S = 1.0


def forgetful_box(listener, forgotten):
    """A pop cache that answers at once but silently drops idle connections: later requests on them are never answered."""
    def serve(conn):
        heard = time.monotonic()
        with conn, conn.makefile("rb") as lines:
            while line := lines.readline():
                words = line.decode().split()
                if not words or words[0] != "REQ":
                    continue
                lines.read(int(words[3]) + 2)
                rested, heard = time.monotonic() - heard, time.monotonic()
                if rested > FORGET_AFTER_S:
                    heard = float("-inf")  # permanently from now on
                    forgotten.append(words[1])
                else:
                    conn.sendall(f"{words[1]} DONE digest=e1,dated=1764576000123,tell=pulled 2\r\nok\r\n".encode())
    while True:
        conn, _ = listener.accept()
        threading.Thread(target=serve, args=(conn,), daemon=True).start()


def idle_connections_forgotten(program, library):
    """After an idle period all pop cache connections are dead without a FIN or RST: reads are still served, and
    non-idempotent requests get a response in time."""
    listener = listening()
    forgotten = []
    threading.Thread(target=forgetful_box, args=(listener, forgotten), daemon=True).start()
    proxy = Proxy(program, library, "127.0.0.1:%d" % listener.getsockname()[1])
    try:
        proxy.ready()
        for round_ in range(2):
            crowd = Crowd(proxy.port, 8, kind=b"sheet" if round_ == 0 else b"video", until_first=True)
            enrols = Crowd(proxy.port, 2, kind=b"enrol", until_first=True)
            crowd.join(), enrols.join()
            print(f"round {round_}: {crowd.told()}; enrol: {enrols.told()}")
            want(not crowd.lost() and not enrols.lost(), "lost")
            want(crowd.count(SERVED) == 8, "a read was not served")
            late = [took for client in crowd.all + enrols.all for _, took, _ in client.answers if took > 3.05]
            want(not late, f"answered after the deadline: {late}")
            want((len(forgotten) > 0) == (round_ > 0), f"forgotten: {forgotten}")
            time.sleep(FORGET_AFTER_S + 1)
    finally:
        proxy.end()


STORIES = {story.__name__: story for story in (clock_steps, accept_fails, accept_stands_still, socket_at_start,
                                               process_stands_still, hand_over_fails, hand_over_unreadable,
                                               recovery_folder_fails, folders_fail_at_start, own_shortage,
                                               server_connections_break, attempts_are_bounded,
                                               idle_connections_forgotten, limit_behind_pause, left_behind_pause)}


if __name__ == "__main__":
    run_story(STORIES)
