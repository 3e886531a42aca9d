#!/usr/bin/env python3
"""Usual clients of a real process beside clients that send at full speed: each request has its answer in time.

Usage: flood_test.py SUMACKEEL LIBRARY STORY
"""
import os
import signal
import subprocess
import sys
import time

from rig import SERVED, Boxes, Crowd, Proxy, run_story, want

FLOOD_PROCESSES, CLIENTS_EACH, FLOOD_S = 2, 20, 5.0
USUAL_CLIENTS = 8
# A request's own time, and what its answer may be late by before it is lost.
MAX_ANSWER_S = 3.0 + 0.5 + 0.05
STOP_S = 0.2


class Flood:
    """Processes of flood clients, which all begin at `begin`."""

    def __init__(self, port, habit):
        script = os.path.join(os.path.dirname(os.path.abspath(__file__)), "flood_clients.py")
        command = [sys.executable, script, str(port), str(CLIENTS_EACH), str(FLOOD_S), habit]
        self.processes = [subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
                          for _ in range(FLOOD_PROCESSES)]

    def begin(self):
        for process in self.processes:
            want(process.stdout.readline() == "connected\n", "a flood client could not connect")
        for process in self.processes:
            process.stdin.write("\n")
            process.stdin.flush()

    def received(self):
        """Waits for the end; the bytes that the flood clients were sent."""
        return sum(int(process.communicate(timeout=FLOOD_S + 20)[0]) for process in self.processes)

    def end(self):
        for process in self.processes:
            process.kill()
            process.wait()


def answered_in_time(crowd):
    late = [took for client in crowd.all for _, took, _ in client.answers if took > MAX_ANSWER_S]
    slowest = max((took for client in crowd.all for _, took, _ in client.answers), default=0)
    print(f"usual clients: {crowd.told()}, the slowest answer after {slowest:.2f} s")
    want(not crowd.lost(), f"lost: {crowd.lost()[:3]}")
    want(not late, f"answered after {MAX_ANSWER_S} s: {late[:3]}")
    want(crowd.count(SERVED) > USUAL_CLIENTS, "hardly anything served")


def beside_flood(program, library, habit, during=lambda proxy: None):
    """Plays the usual clients beside the flood; `during` is called a second after it has begun."""
    boxes = Boxes()
    proxy = Proxy(program, library, boxes.at)
    flood = None
    try:
        proxy.ready()
        flood = Flood(proxy.port, habit)
        crowd = Crowd(proxy.port, USUAL_CLIENTS)
        flood.begin()
        time.sleep(1)
        during(proxy)
        time.sleep(FLOOD_S - 2)
        crowd.stop()
        want(flood.received() > 0, "the flood was not answered")
        answered_in_time(crowd)
    finally:
        if flood:
            flood.end()
        proxy.process.send_signal(signal.SIGCONT)
        proxy.end()


def endless(program, library):
    """Clients at full speed, of requests of an unknown class, keep no other client from its answers."""
    beside_flood(program, library, "endless")


def stopped(program, library):
    """Beside clients that send again as soon as they are rejected, service resumes after the process was stopped for a moment."""
    def stop(proxy):
        proxy.process.send_signal(signal.SIGSTOP)
        time.sleep(STOP_S)
        proxy.process.send_signal(signal.SIGCONT)
    beside_flood(program, library, "waiting", stop)


STORIES = {story.__name__: story for story in (endless, stopped)}


if __name__ == "__main__":
    run_story(STORIES)
