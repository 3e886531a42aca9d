"""Several real processes of the program on loopback, links between them that a test steers, stand-in pop caches and clients
with a checker. Scenarios (scenarios/*.toml) are data; what they may say is the Steps class.

| module | holds |
| --- | --- |
| network | addresses and ports |
| processes, fleet | one process; all of a scenario |
| relay | links that lose, delay, repeat and keep bytes |
| stub_caches, power | stand-in pop caches, parents, the origin and change logs |
| clients | clients that check each answer |
| steps | what a scenario may say, by subject |
| log_rules | what no log may hold |
"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "daemon"))

from .clients import Client  # noqa: E402
from .failure import Failed  # noqa: E402
from .fleet import Fleet  # noqa: E402
from .log_rules import never  # noqa: E402
from .network import CLIENTS, OPS, PEERS, STORE, VOTES, own_network  # noqa: E402
from .processes import Member  # noqa: E402
from .steps import Steps  # noqa: E402

__all__ = ["CLIENTS", "OPS", "PEERS", "STORE", "VOTES", "Client", "Failed", "Fleet", "Member", "Steps", "never", "own_network"]
