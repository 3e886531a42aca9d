"""The exception of a scenario that fails."""


class Failed(Exception):
    """What must hold does not."""
