"""Clients that check each answer."""
import os
import socket
import threading
import time

from .network import CLIENTS, LOOK_EVERY_S
from wire import dispatch, reply


class Client(threading.Thread):
    """Asks one proxy again and again, one request at a time; each has one answer, or a reason to have none."""

    def __init__(self, member, pause=0.02):
        super().__init__(daemon=True)
        self.member, self.pause, self.going, self.resting = member, pause, True, False
        self.answered = self.other = self.excused = 0
        self.wrong = []
        self.keep_times = None  # a list: seconds of each that was answered

    def run(self):
        conn, sequence, number = None, 0, 0
        while self.going:
            if self.resting:
                time.sleep(LOOK_EVERY_S)
                continue
            number += 1
            enrol = number % 10 == 0
            ident = f"{'e' if enrol else 'a'}{self.member.index:03x}{os.getpid() % 65536:04x}{number:08x}"
            faults = self.member.faults
            try:
                if conn is None:
                    conn, sequence = socket.create_connection((self.member.host, CLIENTS), timeout=4), 0
                sequence += 1
                sent = time.perf_counter()
                conn.sendall(dispatch(sequence, ident.encode(), self.member.fleet.object_of(self.member, number).encode(),
                                      b"enrol" if enrol else b"sheet"))
                got, place = reply(conn)
                if got != sequence:
                    self.wrong.append(f"{ident}: an answer for number {got} instead of {sequence}")
                if place == 0:
                    self.answered += 1
                    if self.keep_times is not None:
                        self.keep_times.append(time.perf_counter() - sent)
                else:
                    self.other += 1
            except (OSError, ConnectionError):
                if conn:
                    conn.close()
                fresh, conn = sequence <= 1, None
                # A process that is stopped, killed or ending answers nobody; on a connection kept for long the
                # proxy may close just as we send, before it has read anything.
                if faults != self.member.faults or self.member.faulted or not fresh:
                    self.excused += 1
                else:
                    self.wrong.append(f"{ident}: no answer from {self.member.name}")
            time.sleep(self.pause)
        if conn:
            conn.close()
