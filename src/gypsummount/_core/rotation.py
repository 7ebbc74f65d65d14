"""Selection of receivers in turn when not all fit into one round."""


class Rotation:
    """Selects names in turn, a limited number each time."""

    __slots__ = ("_last_name",)

    def __init__(self) -> None:
        self._last_name = ""

    def select(self, names: list[str], limit: int) -> list[str]:
        """Return the next names in order, at most ``limit`` of them.

        In :func:`count_rounds` calls with the same names, each name is
        returned.  Names that join or leave make no other name lose its
        turn.
        """
        ordered = sorted(names)
        if len(ordered) <= limit:
            return ordered
        after_last = [name for name in ordered if name > self._last_name]
        selected = (after_last + ordered)[:limit]
        self._last_name = selected[-1]
        return selected


def count_rounds(count: int, limit: int) -> int:
    """Return the number of rounds in which all names are selected."""
    return max(1, -(-count // limit))
