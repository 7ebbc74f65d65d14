"""Turns among more receivers than are told at once."""


class Rotation:
    """Takes names in turn, a bounded number each time."""

    __slots__ = ("_last",)

    def __init__(self) -> None:
        self._last = ""

    def take(self, names: list[str], most: int) -> list[str]:
        """Return the next names, at most ``most`` of them.

        Over ``count_rounds`` calls with the same names each one is
        taken; joining and leaving names disturb no other's turn.
        """
        ordered = sorted(names)
        if len(ordered) <= most:
            return ordered
        later = [one for one in ordered if one > self._last]
        taken = (later + ordered)[:most]
        self._last = taken[-1]
        return taken


def count_rounds(count: int, most: int) -> int:
    """Return in how many rounds all of ``count`` names are taken."""
    return max(1, -(-count // most))
