"""What the change logs tell."""
import time

from .base import StepsBase


class DiscoverySteps(StepsBase):
    """What the change logs tell."""

    def discovery(self, up, who="all"):
        indices = [member.index for member in self.fleet.pick(who)]
        (self.fleet.logs.bring_back if up else self.fleet.logs.take_away)(indices)

    def purge(self, only=None):
        """All objects of the clients' group, told to all or to one member alone."""
        self.purged_at = time.time()
        self.fleet.logs.tell({"invalidate": {"bucket": 17, "time": int(self.purged_at * 1000)}}, only)

    def listed(self, box, state):
        self.fleet.logs.tell({"fleet": {"seq": 100 + len(self.fleet.logs.events[0]), "whole": False,
                                        "hosts": self.fleet.hosts(state, [box])}})

    def empty_list(self):
        self.fleet.logs.tell({"fleet": {"seq": 90, "whole": True, "hosts": []}})

    def whole_list(self):
        self.fleet.logs.tell({"fleet": {"seq": 95, "whole": True, "hosts": self.fleet.hosts()}})
