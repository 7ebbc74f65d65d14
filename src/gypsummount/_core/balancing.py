"""Load-balancing policies: the choice among upstreams with a free slot."""

from abc import ABC
from abc import abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import final


@dataclass(slots=True, frozen=True)
class Candidate:
    """An upstream that may take one more request.

    ``in_flight`` counts this process's own requests, ``reported_load`` is
    the load that the upstream reported, in requests.  ``latency_s`` is
    the average latency of its answers.
    """

    upstream: str
    in_flight: int
    reported_load: float
    slots: int
    latency_s: float

    @property
    def score(self) -> float:
        """Return the load per slot with one more request.

        The load is the larger of the own requests and the reported load.
        """
        load = max(float(self.in_flight), self.reported_load)
        return (load + 1) / max(1, self.slots)


class Policy(ABC):
    """Chooses among candidates; the sequence must not be empty."""

    @abstractmethod
    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate that takes the next request."""


@final
class TwoChoices(Policy):
    """Power of two choices: the better of two random candidates.

    Source: M. Mitzenmacher, "The power of two choices in randomized
    load balancing", 2001.
    """

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the less loaded of two; latency breaks ties."""
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._random.sample(candidates, 2)
        return min(first, second, key=_get_sort_key)


@final
class UniformChoice(Policy):
    """Baseline for comparison: a uniformly random candidate."""

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return a random candidate."""
        return self._random.choice(candidates)


@final
class RoundRobin(Policy):
    """Baseline for comparison: the candidates in turn."""

    def __init__(self) -> None:
        self._next_index = 0

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the next candidate in turn."""
        chosen = candidates[self._next_index % len(candidates)]
        self._next_index += 1
        return chosen


@final
class LeastReported(Policy):
    """Baseline for comparison: the lowest reported load, at any age."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate with the lowest reported load."""
        return min(
            candidates,
            key=lambda candidate: (
                candidate.reported_load,
                candidate.upstream,
            ),
        )


def _get_sort_key(candidate: Candidate) -> tuple[float, float]:
    return candidate.score, candidate.latency_s
