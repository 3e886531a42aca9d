"""Rules on what no log may hold."""
import os

from .failure import Failed


def never(fleet, rules):
    """Rules "SEER sees MEMBER STATE", each with * for any: no log may hold such a change."""
    for rule in rules:
        seer, _, member, state = rule.split()
        for one in fleet.all:
            if not os.path.exists(one.log):
                continue
            for who, whom, what in one.seen_changes():
                if seer in ("*", who) and member in ("*", whom) and what == state:
                    raise Failed(f"never '{rule}': {who} saw {whom} {what}")
