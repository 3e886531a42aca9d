#!/usr/bin/env python3
"""The soak of upgrades, judged by what the proxy's system had acknowledged.

Guards: a request that had come to a process is thrown away as its connection ends. Where the bytes of a request were not
acknowledged by then, it crossed the end, and its client sends it again; upgrade_soak.py counts that as lost as well, where
the end was not here right behind the write.
Usage: upgrade_acknowledged_soak.py SUMACKEEL LIBRARY FIRST LAST [AT_ONCE]
"""
import threading

import upgrade_soak
from connection_ends_test import unacknowledged


class Acknowledged(upgrade_soak.Run):
    """Called from the thread of the client whose connection has just ended."""

    def lost(self, ident, which, sent, why):
        client = threading.current_thread()
        if client.is_unacknowledged(ident):
            self.count("crossed, not acknowledged")
        else:
            super().lost(ident, which, sent, why)


class Noting:
    """Notes how many bytes were written behind each request on its connection."""

    def write(self, ident, timeout):
        if self.sequence == 1:
            self.written, self.written_up_to = 0, {}
        self.written_up_to[ident] = self.written
        self.written += len(upgrade_soak.dispatch(self.sequence, ident, b"%016x" % 0, timeout=b"%d" % (timeout * 1000)))
        super().write(ident, timeout)

    def is_unacknowledged(self, ident):
        return self.written - unacknowledged(self.conn) <= self.written_up_to[ident]


class Client(Noting, upgrade_soak.Client):
    pass


class Overlapping(Noting, upgrade_soak.Overlapping):
    pass


if __name__ == "__main__":
    upgrade_soak.Run, upgrade_soak.Client, upgrade_soak.Overlapping = Acknowledged, Client, Overlapping
    upgrade_soak.main()
