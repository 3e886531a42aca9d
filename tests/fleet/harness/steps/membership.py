"""What members see of each other."""
from .base import StepsBase
from ..failure import Failed
from ..membership_view import states


class MembershipSteps(StepsBase):
    """What members see of each other."""

    def agree(self, within, who="all", alive=None):
        """All of `who` that run see exactly each other (or `alive`) as alive."""
        chosen = self.fleet.pick(who)

        def holds():
            running = [member for member in chosen if member.running()]
            wanted = {m.name for m in (self.fleet.pick(alive) if alive is not None else running)}
            for member in running:
                said = member.group()
                if said is None:
                    return f"{member.name} does not answer"
                there = {name for name, one in states(said).items() if one["state"] == "alive"}
                if there != wanted - {member.name} or said["state"] != "alive":
                    others = {n: (o["state"], o["doubted_by"]) for n, o in states(said).items() if n not in there}
                    return f"{member.name} ({said['state']}) sees {sorted(there)} and {others}"
            return True
        self.eventually(within, "agree", holds)

    def sees(self, who, member, state, within, by=None, start=None):
        """Each of `who` sees `member` in `state` (a word or several), doubted by `by` among others."""
        wanted = state if isinstance(state, list) else [state]

        def holds():
            for seer in self.fleet.pick(who):
                if seer.name == member or not seer.running():
                    continue
                said = seer.group()
                one = states(said).get(member) if said else None
                if one is None or one["state"] not in wanted:
                    return f"{seer.name} sees {one}"
                if by is not None and not set(by) <= set(one["doubted_by"]):
                    return f"{seer.name}: doubted by {one['doubted_by']}"
                if start is not None and one["start"] != start:
                    return f"{seer.name}: start {one['start']}"
            return True
        self.eventually(within, f"{member} {state}", holds)

    def says(self, who, within=0, **wanted):
        """Each of `who` says these of itself, as `side = "minority"`; a number is what it is at least."""
        def holds():
            for member in self.fleet.pick(who):
                said = member.group()
                for key, value in wanted.items():
                    have = said
                    for part in key.split("__"):
                        have = have.get(part) if isinstance(have, dict) else None
                    number = isinstance(value, (int, float)) and not isinstance(value, bool)
                    if have is None or (have < value if number else have != value):
                        return f"{member.name}: {key} is {have}, not {value}"
            return True
        self.eventually(within, "says", holds)

    def some_says(self, who, within=0, **wanted):
        """At least one of `who` says these of itself."""
        def holds():
            complaints = []
            for member in self.fleet.pick(who):
                try:
                    self.says([member.index], 0, **wanted)
                    return True
                except Failed as fault:
                    complaints.append(str(fault))
            return complaints
        self.eventually(within, "some says", holds)

    def counts(self, who, zone, within, **wanted):
        """How many proxies each of `who` counts in a zone, exactly."""
        def holds():
            found = {member.name: member.group()["counts"].get(zone) for member in self.fleet.pick(who)}
            return all(count == wanted["is"] for count in found.values()) or f"{found}"
        self.eventually(within, "counts", holds)
