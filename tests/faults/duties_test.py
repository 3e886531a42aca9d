#!/usr/bin/env python3
"""Time limits of a real process when what it waits for never responds: callers of the admin API, the disk, or the reader
of its log.

Usage: duties_test.py SUMACKEEL LIBRARY STORY
"""
import json
import os
import signal
import socket
import subprocess
import time

from rig import SERVED, Boxes, Crowd, Proxy, Talking, bans_of, keep_ban, reserved_port, run_story, want

KILLED_AFTER_S = 3.7    # earliest SIGKILL after SIGTERM
ANSWER_WITHIN_S = 1.0   # each admin API call, under any load
READY_WITHIN_S = 10
ENDS_WITHIN_S, CAN_NOT_START = 20, 2  # a startup that can't complete, and its exit status
LEADER_WITHIN_S = 20    # after the disk responds again
SLOW_REQUEST_S = 0.3    # pop caches respond immediately
CALLS = (("GET", "/ops/readiness"), ("GET", "/ops/stats"), ("POST", "/ops/pop-caches/down/s-a"),
         ("POST", "/ops/pop-caches/up/s-a"), ("POST", "/ops/drain/start"), ("POST", "/ops/drain/stop"))


def timed_call(proxy, method, path):
    began = time.monotonic()
    status, said = proxy.call(path, method)
    return status, said, time.monotonic() - began


def silent_callers(program, library):
    """An admin API call is answered within 1 s despite any number of callers that send nothing, half a call, or a whole call
    whose response they never read."""
    boxes = Boxes()
    proxy = Proxy(program, library, boxes.at)
    try:
        proxy.ready()
        for count in (8, 60, 300, 900):
            for text in (b"", b"GET /ops/read", b"GET /ops/stats HTTP/1.1\r\n\r\n"):
                worst = 0.0
                for method, path in CALLS:
                    callers = [socket.create_connection(("127.0.0.1", proxy.ops), timeout=10) for _ in range(count)]
                    for caller in callers:
                        caller.sendall(text)
                    status, _, took = timed_call(proxy, method, path)
                    worst = max(worst, took)
                    want(status == 200, f"{path} behind {count} callers: {status}")
                    for caller in callers:
                        caller.close()
                print(f"behind {count} callers that send {text!r}: {worst:.3f} s at the worst")
                want(worst < ANSWER_WITHIN_S, f"behind {count} callers that send {text!r}: {worst:.2f} s")
    finally:
        proxy.end()


def leaves_in_time(proxy):
    """After SIGTERM the process exits by itself before the earliest SIGKILL."""
    proxy.process.terminate()
    want(proxy.process.wait(KILLED_AFTER_S) == 0, "it did not leave")


def served_meanwhile(proxy, action):
    """Sends client requests while `action` runs; returns its result and the duration of the slowest request."""
    crowd = Crowd(proxy.port)
    time.sleep(0.3)
    result = action()
    time.sleep(0.5)
    crowd.stop()
    want(not crowd.lost(), f"lost: {crowd.lost()[:3]}")
    want(crowd.count(SERVED) > 20, f"hardly anything served: {crowd.told()}")
    return result, max(took for client in crowd.all for _, took, _ in client.answers)


def slow_disk(program, library):
    """A disk that takes 0.4 s, 3 s or forever for a write, a sync or an open delays neither a call nor a request, and
    accepted changes are on disk once it responds."""
    for call, seconds in (("fsync", 0.4), ("fsync", 3), ("write", 3), ("rename", 3), ("open", 3), ("fsync", 1000)):
        boxes = Boxes()
        proxy = Proxy(program, library, boxes.at, f"{call}=WAIT{seconds}/1@1-1000", under="sumackeel")
        try:
            proxy.ready()
            proxy.wait_until(1.1)
            (status, said, took), slowest = served_meanwhile(
                proxy, lambda p=proxy: timed_call(p, "POST", "/ops/pop-caches/down/s-a"))
            print(f"{call} takes {seconds} s: call {took:.3f} s, {said!r}, slowest request {slowest:.3f} s")
            want(status == 200, f"{call} takes {seconds} s: {status}")
            want(took < ANSWER_WITHIN_S, f"{call} takes {seconds} s: the call {took:.2f} s")
            want(slowest < SLOW_REQUEST_S, f"{call} takes {seconds} s: a request {slowest:.2f} s")
            want(seconds < 1 or "not kept yet" in said, "told yes and not that it is not kept")
            if seconds == 1000:
                proxy.process.terminate()
                began = time.monotonic()
                status = proxy.process.wait(10)
                want(status == 0 and time.monotonic() - began < KILLED_AFTER_S, f"{call} hangs: left with {status} "
                     f"{time.monotonic() - began:.2f} s after SIGTERM")
        finally:
            proxy.end()


def disk_hangs_elsewhere(program, library):
    """A handover read that hangs at startup, and a configuration read that hangs at a reload, block no caller or client."""
    boxes = Boxes()
    proxy = Proxy(program, library, boxes.at, "open=WAIT1000/1@0-1000", under="sumackeel")
    try:
        proxy.ready(READY_WITHIN_S)
        print(f"ready {proxy.since_start():.2f} s after its start, the hand-over unread")
    finally:
        proxy.end()
    proxy = Proxy(program, library, boxes.at, "open=WAIT1000/1@1-1000", under="config.json")
    try:
        proxy.ready()
        proxy.wait_until(1.1)

        def reloads():
            for _ in range(3):
                proxy.process.send_signal(signal.SIGHUP)
                time.sleep(0.2)
            return timed_call(proxy, "GET", "/ops/readiness")
        (status, _, took), slowest = served_meanwhile(proxy, reloads)
        print(f"reloads whose file is never read: call {took:.3f} s, slowest request {slowest:.3f} s")
        want(status == 200 and took < ANSWER_WITHIN_S and slowest < SLOW_REQUEST_S, "a reload held it up")
        leaves_in_time(proxy)
    finally:
        proxy.end()


def newest_kept(program, talking):
    """The tool's output for the newest file in the recovery directory."""
    return subprocess.run([program, "recovery", "verify", os.path.join(talking.folder.name, "kept")], check=False,
                          capture_output=True, text=True).stdout.splitlines()


def kept_folder_hangs_at_start(program, library):
    """Nothing waits for a recovery directory whose read hangs; if the read completes late, the next generation is numbered
    after the existing ones."""
    for faults, answers in (("open=WAIT1000/1@0-1000", False), ("open=WAIT8/1@0-1", True)):
        boxes, talking = Boxes(), Talking()
        first = talking.start(program, library, boxes)
        keep_ban(first)
        first.kill()
        before = newest_kept(program, talking)[0]
        second = talking.begin(program, library, boxes, faults, "kept")
        try:
            second.ready(READY_WITHIN_S)
            print(f"{faults}: ready {second.since_start():.2f} s after its start")
            want("the folder does not answer" in second.said(), "it is not said that the folder does not answer")
            (status, said, took), slowest = served_meanwhile(
                second, lambda p=second: timed_call(p, "POST", "/ops/pop-caches/down/s-b"))
            print(f"{faults}: call {took:.3f} s, {said!r}, slowest request {slowest:.3f} s")
            want(status == 200 and "not kept yet" in said and took < ANSWER_WITHIN_S, f"{status} {said!r} in {took:.2f} s")
            want(slowest < SLOW_REQUEST_S, f"a request took {slowest:.2f} s")
            second.wait_until(11 if answers else 0)
            leaves_in_time(second)
            after = newest_kept(program, talking)[0]
            print(f"before: {before}; after: {after}")
            # The earlier ban was received through the handover.
            want((after > before and ", 2 bans" in after) == answers, f"{before!r}, then {after!r}")
        finally:
            second.end()


def kept_folder_hangs(program, library):
    """A recovery directory that hangs at run time delays neither calls nor requests nor the shutdown."""
    for call in ("open", "write", "fsync", "rename"):
        boxes, talking = Boxes(), Talking()
        proxy = talking.start(program, library, boxes, f"{call}=WAIT1000/1@6-1000", "kept")
        try:
            proxy.wait_until(6.1)
            (status, said, took), slowest = served_meanwhile(
                proxy, lambda p=proxy: timed_call(p, "POST", "/ops/pop-caches/down/s-a"))
            print(f"{call} hangs: call {took:.3f} s, {said!r}, slowest request {slowest:.3f} s")
            want(status == 200 and "not kept yet" in said and took < ANSWER_WITHIN_S, f"{status} {said!r} in {took:.2f} s")
            want(slowest < SLOW_REQUEST_S, f"a request took {slowest:.2f} s")
            want(bans_of(proxy) == "1", "the ban does not hold")
            leaves_in_time(proxy)
        finally:
            proxy.end()


def start_number_hangs(program, library):
    """A process that can't store its start number on disk reports this and exits, so that the platform starts another."""
    boxes, talking = Boxes(), Talking()
    proxy = talking.begin(program, library, boxes, "open=WAIT1000/1@0-1000", "state")
    try:
        status = proxy.process.wait(ENDS_WITHIN_S)
        print(f"ended with {status} after {proxy.since_start():.2f} s")
        want(status == CAN_NOT_START and "does not answer" in proxy.said(), f"ended with {status}: {proxy.said()}")
    except subprocess.TimeoutExpired:
        want(False, "it neither served nor ended")
    finally:
        proxy.kill()


class Voters:
    """Three voters of the replicated log; `faults` apply to calls on files below their log directories."""

    def __init__(self, program, library, boxes, faults):
        names = ["n0", "n1", "n2"]
        self.reserved = {name: (reserved_port(), reserved_port()) for name in names}
        peers, votes = ({name: "127.0.0.1:%d" % self.reserved[name][place].getsockname()[1] for name in names}
                        for place in (0, 1))
        self.all = []
        for name in names:
            talking = Talking()
            operator = (f'[peers]\ngroup = "school"\nname = "{name}"\nlisten = "{peers[name]}"\nkey = "key"\nfolder = "state"\n'
                        f'seeds = {json.dumps([peers[other] for other in names if other != name])}\n'
                        '[agreed]\nfolder = "agreed"\nelection_ms = 400\n'
                        'voters = { %s }\n' % ", ".join(f'{one} = "{at}"' for one, at in votes.items()))
            self.all.append(Proxy(program, library, boxes.at, faults, under="agreed", folder=talking.folder, operator=operator))

    def leader(self):
        for proxy in self.all:
            if proxy.process.poll() is None and '"leads":true' in proxy.call("/ops/rollout", "GET")[1].replace(" ", ""):
                return proxy
        return None

    @staticmethod
    def end(which):
        for proxy in which:
            leaves_in_time(proxy)

    def kill(self):
        for proxy in self.all:
            proxy.kill()


def elect_over_hanging_disk(voters):
    """Kills the leader while the disk hangs; returns the longest call and request durations on the other two."""
    until = time.monotonic() + READY_WITHIN_S
    for proxy in voters.all:
        proxy.ready(READY_WITHIN_S)
    while not (led := voters.leader()):
        want(time.monotonic() < until, "no leader")
        time.sleep(0.05)
    led.wait_until(8.5)
    led.kill()
    left = [proxy for proxy in voters.all if proxy is not led]
    crowds, calls = [Crowd(proxy.port) for proxy in left], []
    while led.since_start() < 13:
        calls += [timed_call(proxy, "GET", "/ops/readiness")[2] for proxy in left]
        time.sleep(0.1)
    for crowd in crowds:
        crowd.stop()
    return left, max(calls), max(took for crowd in crowds for client in crowd.all for _, took, _ in client.answers)


def voters_disk_hangs(program, library):
    """Voters whose disk hangs in a sync, a write or an open keep serving and answer calls during the leader election; a leader
    is elected once the disk responds again, and they exit in time if it never does."""
    for faults, heals in (("fsync=WAIT3/1@8-14", True), ("write=WAIT1000/1@8-1000", False), ("open=WAIT1000/1@8-1000", False)):
        boxes = Boxes()
        voters = Voters(program, library, boxes, faults)
        try:
            left, call, request = elect_over_hanging_disk(voters)
            print(f"{faults}: calls {call:.3f} s, requests {request:.3f} s at the worst")
            want(call < ANSWER_WITHIN_S, f"a call took {call:.2f} s")
            want(request < SLOW_REQUEST_S, f"a request took {request:.2f} s")
            until = time.monotonic() + (LEADER_WITHIN_S if heals else 0)
            while not voters.leader() and time.monotonic() < until:
                time.sleep(0.1)
            print(f"a leader: {voters.leader() is not None}, {left[0].since_start():.1f} s after the start")
            want(voters.leader() or not heals, "no leader once the disk answers again")
            voters.end(left)
        finally:
            voters.kill()


def voters_folder_hangs_at_start(program, library):
    """Nothing waits for a replicated log directory whose read hangs."""
    voters = Voters(program, library, Boxes(), "open=WAIT1000/1@0-1000")
    try:
        for proxy in voters.all:
            proxy.ready(READY_WITHIN_S)
        proxy = voters.all[0]
        print(f"ready {proxy.since_start():.2f} s after its start")
        want("consensus: folder not answering folder=" in proxy.said(), "it is not said that the folder does not answer")
        (status, _, took), slowest = served_meanwhile(proxy, lambda: timed_call(proxy, "GET", "/ops/readiness"))
        want(status == 200 and took < ANSWER_WITHIN_S and slowest < SLOW_REQUEST_S, f"{status} in {took:.2f} s, {slowest:.2f} s")
        voters.end(voters.all)
    finally:
        voters.kill()


def log_unread(program, library):
    """Log output that nobody reads delays neither calls nor requests nor the shutdown; dropped lines are counted."""
    for level in ("info", "debug"):
        unread, log = os.pipe()
        os.set_blocking(log, False)
        try:
            while os.write(log, b"x" * 4096):
                pass
        except BlockingIOError:
            pass
        os.set_blocking(log, True)
        boxes = Boxes()
        proxy = Proxy(program, library, boxes.at, log_level=level, log_to=log)
        os.close(log)
        try:
            proxy.ready()
            calls, slowest = served_meanwhile(
                proxy, lambda p=proxy: [timed_call(p, method, path) for method, path in CALLS[:4] * 20])
            worst = max(took for _, _, took in calls)
            print(f"log at {level} that nobody reads: calls {worst:.3f} s, requests {slowest:.3f} s at the worst")
            want(all(status == 200 for status, _, _ in calls), "a call got a no")
            want(worst < ANSWER_WITHIN_S, f"a call took {worst:.2f} s")
            want(slowest < SLOW_REQUEST_S, f"a request took {slowest:.2f} s")
            if level == "debug":
                said = proxy.call("/ops/stats", "GET")[1]
                want(int(said.split("gw_log_lines_dropped ")[1].split()[0]) > 0, "nothing was counted as left out")
            proxy.process.terminate()
            began = time.monotonic()
            status = proxy.process.wait(10)
            want(status == 0 and time.monotonic() - began < KILLED_AFTER_S, f"left with {status} {time.monotonic() - began:.2f} s on")
        finally:
            os.close(unread)
            proxy.end()


STORIES = {story.__name__: story for story in (silent_callers, slow_disk, disk_hangs_elsewhere, kept_folder_hangs_at_start,
                                               kept_folder_hangs, start_number_hangs, voters_disk_hangs,
                                               voters_folder_hangs_at_start, log_unread)}


if __name__ == "__main__":
    run_story(STORIES)
