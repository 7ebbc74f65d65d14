"""Selection of receivers in turn when not all fit into one round."""


class Rotation:
    """Selects names in turn, a limited number each time."""

    __slots__ = ("_last",)

    def __init__(self) -> None:
        self._last = ""

    def take(self, names: list[str], most: int) -> list[str]:
        """Return the next names in order, at most ``most`` of them.

        In :func:`count_rounds` calls with the same names, each name is
        returned.  Names that join or leave do not cost the others
        their turn.
        """
        ordered = sorted(names)
        if len(ordered) <= most:
            return ordered
        later = [one for one in ordered if one > self._last]
        taken = (later + ordered)[:most]
        self._last = taken[-1]
        return taken


def count_rounds(count: int, most: int) -> int:
    """Return the number of rounds in which all names are selected."""
    return max(1, -(-count // most))
