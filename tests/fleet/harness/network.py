"""Addresses and ports: each scenario has a loopback network of its own, so that any number run beside each other."""
import os
import socket

from .failure import Failed


CLIENTS, OPS, PEERS, VOTES, STORE = 9000, 9001, 9002, 9003, 9004  # ports, at each member's own address
LOOK_EVERY_S = 0.05
STARTED_WITHIN_S = 30


def own_network():
    """A /24 of loopback that no other test holds: the first address whose guard's port is free."""
    for turn in range(2000):
        number = (os.getpid() + 7919 * turn) % 62000
        net = f"127.{1 + number // 250}.{1 + number % 250}"
        guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            guard.bind((f"{net}.254", 9))
            return net, guard
        except OSError:
            guard.close()
    raise Failed("no free loopback network")
