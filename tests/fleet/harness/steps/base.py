"""The base of all steps: the fleet, and waiting for what must become true."""
import time

from ..failure import Failed
from ..network import LOOK_EVERY_S


class StepsBase:
    """What all steps share."""

    def __init__(self, fleet):
        self.fleet = fleet

    def eventually(self, within, what, holds):
        """Looks until `holds()` says yes; what it last said otherwise is in the complaint."""
        end, said = time.monotonic() + within, "nothing"
        while True:
            said = holds()
            if said is True:
                return
            if time.monotonic() > end:
                raise Failed(f"{what}: not within {within} s: {said}")
            time.sleep(LOOK_EVERY_S)
