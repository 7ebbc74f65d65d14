"""The duties of an instance: their leases, holders and candidates."""

from contextlib import AsyncExitStack
from dataclasses import dataclass

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.metrics import Metrics
from gypsummount._common.tasks import start_task
from gypsummount._core.duty_leases import LeaseMachine
from gypsummount._core.duty_ranks import DutyMember
from gypsummount._core.duty_ranks import rank_candidates
from gypsummount._core.readers import Contact
from gypsummount._edge.digests import Digest
from gypsummount._edge.digests import SERVING
from gypsummount._edge.duty_feed import DutyFeed
from gypsummount._edge.duty_lease import CallSlot
from gypsummount._edge.duty_lease import DutyLease
from gypsummount._edge.settings import DutySettings
from gypsummount._edge.settings import EdgeSettings
from gypsummount._edge.store_feed import StoreFeed

# Candidates are ranked again after this time (s).
RANK_INTERVAL_S = 1.0


@dataclass(slots=True, frozen=True)
class DutyPeer:
    """Name and IP of an instance that has a part in a duty.

    ``token`` is the announced token of a holder, 0 for a candidate.
    """

    name: str
    host: str
    region: str
    token: int = 0


@dataclass(slots=True)
class _Part:
    """Who has which part in a duty, as far as this instance knows.

    ``holder`` is another instance, the last one that announced the duty,
    and ``region`` is that of the last holder of all.
    """

    lease: DutyLease
    holder: DutyPeer | None = None
    is_holder_live: bool = False
    region: str = ""
    candidate: DutyPeer | None = None


class Duties:
    """Owns the leases of all configured duties of an instance.

    Without configured duties there are no leases, and nothing runs.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        incarnation: int,
        store: StoreFeed,
        feed: DutyFeed | None,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._feed = feed
        self._ranked_at = float("-inf")
        self._parts: dict[str, _Part] = {}
        self.leases: dict[str, DutyLease] = {}
        if settings.duties is not None and feed is not None:
            self._add_leases(
                settings.duties, incarnation, store, feed, metrics
            )

    def _add_leases(
        self,
        settings: DutySettings,
        incarnation: int,
        store: StoreFeed,
        feed: DutyFeed,
        metrics: Metrics,
    ) -> None:
        name = self._settings.instance
        now = read_monotonic()
        slot = CallSlot(settings.calls_per_s)
        for duty in settings.duties:
            machine = LeaseMachine(
                duty, name, incarnation, settings.lease_s, now
            )
            lease = DutyLease(machine, name, store, feed, slot, metrics)
            self.leases[duty] = lease
            self._parts[duty] = _Part(lease)

    def start(self, stack: AsyncExitStack) -> None:
        """Start the tasks that hold or seek the leases."""
        for duty, lease in self.leases.items():
            start_task(stack, lease.run(), f"duty.{duty}")

    def stop(self) -> None:
        """Release the leases that are held, and seek none any more."""
        for lease in self.leases.values():
            lease.stop()

    async def close(self) -> None:
        """Close the connections to the endpoint of the duties."""
        if self._feed is not None:
            await self._feed.close()

    def get_holder(self, duty: str) -> DutyPeer | None:
        """Return the holder of a duty with the highest announced token.

        This instance itself is returned while it holds the lease.  A holder
        that does not answer any more is returned until another one is
        announced.
        """
        part = self._parts[duty]
        token = part.lease.token
        if token:
            return DutyPeer(
                self._settings.instance,
                self._settings.host,
                self._settings.region,
                token,
            )
        return part.holder

    def get_first_candidate(self, duty: str) -> DutyPeer | None:
        """Return who takes over next, in another region if there is one.

        This instance itself is returned if it is the first candidate.
        """
        return self._parts[duty].candidate

    def list_held(self) -> dict[str, int]:
        """Return the tokens of the duties that this instance holds."""
        held = {}
        for duty, lease in self.leases.items():
            token = lease.token
            if token:
                held[duty] = token
        return held

    def list_gauges(self) -> dict[str, float | int]:
        """Return the gauges of all duties, by name with labels.

        The token is that of the known holder, which may be this instance.
        """
        gauges: dict[str, float | int] = {}
        for duty, lease in self.leases.items():
            label = f'duty="{duty}"'
            rank = -1 if lease.rank is None else lease.rank
            gauges[f"duty_held{{{label}}}"] = int(lease.token > 0)
            gauges[f"duty_candidate_rank{{{label}}}"] = rank
            holder = self.get_holder(duty)
            if holder is not None:
                label += f',holder="{holder.name}"'
                gauges[f"duty_token{{{label}}}"] = holder.token
        return gauges

    def observe(self, digest: Digest) -> None:
        """Apply what a digest announces of duties."""
        for duty, part in self._parts.items():
            token = digest.duties.get(duty, 0)
            holder = part.holder
            if token:
                if self._may_replace(part, token):
                    part.holder = DutyPeer(
                        digest.name, digest.host, digest.region, token
                    )
                    part.is_holder_live = True
                    part.region = digest.region
            elif holder is not None and holder.name == digest.name:
                part.holder = None
                part.lease.poll_early()

    def update(
        self, live: list[Digest], phase: str, contact: Contact, now: float
    ) -> None:
        """Rank the candidates among this instance and the live peers."""
        is_due = now >= self._ranked_at + RANK_INTERVAL_S
        if not self.leases or not is_due:
            return
        self._ranked_at = now
        members = [
            _build_member(digest)
            for digest in live
            if digest.phase == SERVING and digest.contact != Contact.LOST.value
        ]
        if phase == SERVING and contact is not Contact.LOST:
            members.append(self._build_own_member(contact))
        names = {digest.name for digest in live}
        for duty, part in self._parts.items():
            if part.holder is not None:
                part.is_holder_live = part.holder.name in names
            if part.lease.token:
                part.holder = None
                part.region = self._settings.region
            holder = self.get_holder(duty)
            self._rank(part, members, holder.name if holder else "")

    def _may_replace(self, part: _Part, token: int) -> bool:
        """Tell whether an announced token replaces the known holder.

        A lower one does once that holder is gone, as after the loss of the
        store's content.
        """
        known = part.holder
        if known is None or not part.is_holder_live:
            return True
        return token >= known.token

    def _build_own_member(self, contact: Contact) -> DutyMember:
        settings = self._settings
        return DutyMember(
            settings.instance,
            settings.host,
            settings.region,
            settings.capacity,
            contact is Contact.CONNECTED,
        )

    def _rank(
        self, part: _Part, members: list[DutyMember], holder: str
    ) -> None:
        ranked = rank_candidates(members, holder, part.region)
        first = ranked[0] if ranked else None
        part.candidate = (
            DutyPeer(first.name, first.host, first.region) if first else None
        )
        names = [member.name for member in ranked]
        own = self._settings.instance
        part.lease.set_rank(names.index(own) if own in names else None)


def _build_member(digest: Digest) -> DutyMember:
    return DutyMember(
        digest.name,
        digest.host,
        digest.region,
        digest.capacity,
        digest.contact == Contact.CONNECTED.value,
    )
