"""Policies that choose one of several upstreams with a free slot."""

from abc import ABC
from abc import abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import final


@dataclass(slots=True, frozen=True)
class Candidate:
    """An upstream that may take one more request."""

    upstream: str
    in_flight: int
    reported: float
    slots: int
    latency_s: float

    @property
    def score(self) -> float:
        """Return the load per slot, own requests and reported load."""
        load = max(float(self.in_flight), self.reported)
        return (load + 1) / max(1, self.slots)


class Policy(ABC):
    """Chooses a candidate; the sequence is never empty."""

    @abstractmethod
    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate that takes the next request."""


@final
class TwoChoices(Policy):
    """Takes the better of two candidates drawn at random.

    Source: M. Mitzenmacher, "The power of two choices in randomized
    load balancing", 2001.
    """

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the less loaded of two, then the faster."""
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._random.sample(candidates, 2)
        return min(first, second, key=_rank)


@final
class UniformChoice(Policy):
    """Naive baseline: any candidate with the same chance."""

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return any candidate."""
        return self._random.choice(candidates)


@final
class RoundRobin(Policy):
    """Naive baseline: one after the other."""

    def __init__(self) -> None:
        self._next = 0

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the next candidate in turn."""
        chosen = candidates[self._next % len(candidates)]
        self._next += 1
        return chosen


@final
class LeastReported(Policy):
    """Naive baseline: the least reported load, however old."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate that reported the least load."""
        return min(
            candidates,
            key=lambda entry: (entry.reported, entry.upstream),
        )


def _rank(candidate: Candidate) -> tuple[float, float]:
    return candidate.score, candidate.latency_s
