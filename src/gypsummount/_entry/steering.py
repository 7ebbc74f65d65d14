"""Steering of a request: rate limit, version, and own upstreams or a peer."""

from asyncio import sleep

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.naming import name_link_budget
from gypsummount._core.naming import name_workspace_budget
from gypsummount._core.outcomes import StoredAnswer
from gypsummount._entry.budgets import EntryBudgets
from gypsummount._entry.peer_client import PeerClient
from gypsummount._entry.requests import estimate_answer_size
from gypsummount._entry.requests import SteeredRequest
from gypsummount._entry.selection import Selection
from gypsummount._entry.snapshot import Peer
from gypsummount._entry.snapshot import Snapshot
from gypsummount._entry.upstreams import UpstreamRunner
from gypsummount._entry.versions import VersionChoice
from gypsummount._entry.versions import VersionSelector
from gypsummount.errors import NoCapacity
from gypsummount.errors import Outcome
from gypsummount.errors import OutcomeUnknown
from gypsummount.errors import RateExceeded
from gypsummount.errors import RequestError
from gypsummount.errors import UpstreamFailed

# Peers that one scan may ask to run a request.
MAX_PEERS_PER_SCAN = 3
# Time after which own upstreams and peers are checked again for a free slot.
RESCAN_INTERVAL_S = 0.05


class Steering:
    """Runs requests on own upstreams or forwards them to other entries.

    Own upstreams are preferred.  If none has a free slot, the request is
    forwarded to peers, those of the own region first.
    """

    def __init__(
        self,
        snapshot: Snapshot,
        budgets: EntryBudgets,
        selection: Selection,
        upstreams: UpstreamRunner,
        versions: VersionSelector,
        peers: PeerClient,
        region: str,
    ) -> None:
        self._snapshot = snapshot
        self._budgets = budgets
        self._selection = selection
        self._upstreams = upstreams
        self._versions = versions
        self._peers = peers
        self._region = region
        self._rotation_count = 0

    async def steer(self, request: SteeredRequest) -> StoredAnswer:
        """Check the rate of the workspace and run the request.

        A request that may not be repeated is run at most once.

        :raises RequestError: with the outcome of the request.
        """
        budget = name_workspace_budget(request.workspace)
        await self._budgets.admit(budget, 1.0, request.deadline)
        choice = self._versions.choose(request.route, read_monotonic())
        started = read_monotonic()
        try:
            answer = await self._run_chosen_version(request, choice)
        except RequestError as error:
            if error.outcome is not Outcome.NOT_RUN:
                self._record_result(request, choice, started, failed=True)
            raise
        failed = answer.status >= 500
        self._record_result(request, choice, started, failed=failed)
        return answer

    async def run_forwarded(
        self, request: SteeredRequest, version: str, source_region: str
    ) -> StoredAnswer:
        """Run a request that an entry of another domain forwarded.

        The bytes of the answer are charged to the link between the
        regions.

        :raises NoCapacity: when no slot is free within the slots left
            for forwarded requests.
        :raises RequestError: with the outcome, when the upstream failed
            or the link has no room for the answer.
        """
        answer = await self._upstreams.run(request, version, may_wait=False)
        size = estimate_answer_size(answer)
        try:
            await self._charge_link(
                self._region, source_region, size, request.deadline
            )
        except RateExceeded as error:
            raise _build_link_error(request, error) from None
        return answer

    async def _run_chosen_version(
        self, request: SteeredRequest, choice: VersionChoice
    ) -> StoredAnswer:
        """Run a request; one for the new version does not wait for a slot.

        If the new version has no free slot, the choice is withdrawn and
        the request gets the old version.
        """
        if not choice.is_new:
            return await self._run_version(
                request, choice.version, may_wait=True
            )
        try:
            return await self._run_version(
                request, choice.version, may_wait=False
            )
        except NoCapacity:
            choice.counter.withdraw_new()
            return await self._run_version(
                request, choice.fallback, may_wait=True
            )

    async def _run_version(
        self, request: SteeredRequest, version: str, *, may_wait: bool
    ) -> StoredAnswer:
        """Run a request on an own upstream or a peer that has a free slot.

        If none has one and the request may wait, it waits in the queue
        of the own upstreams.  An entry that owns no slots of the version
        asks the peers again until the deadline.
        """
        service = request.route.service
        while True:
            if self._selection.has_free_slot(service, version):
                return await self._upstreams.run(
                    request, version, may_wait=may_wait
                )
            answer = await self._forward_to_peers(request, version)
            if answer is not None:
                return answer
            if not may_wait:
                break
            if self._selection.owns_version_slots(service, version):
                return await self._upstreams.run(
                    request, version, may_wait=True
                )
            if read_monotonic() + RESCAN_INTERVAL_S >= request.deadline:
                break
            await sleep(RESCAN_INTERVAL_S)
        raise NoCapacity(
            f"no slot of {service} {version} is free; try again in 1 s"
        )

    async def _forward_to_peers(
        self, request: SteeredRequest, version: str
    ) -> StoredAnswer | None:
        failure: RequestError | None = None
        for peer in self._list_candidate_peers(request.route.service):
            try:
                return await self._forward(peer, request, version)
            except NoCapacity:
                continue
            except UpstreamFailed as error:
                failure = error
        if failure is not None:
            raise failure
        return None

    async def _forward(
        self, peer: Peer, request: SteeredRequest, version: str
    ) -> StoredAnswer:
        try:
            await self._charge_link(
                self._region, peer.region, request.size, request.deadline
            )
        except RateExceeded as error:
            raise NoCapacity(str(error)) from None
        return await self._peers.forward_upstream(
            peer.entry.peer_address, request, version
        )

    async def _charge_link(
        self, source: str, target: str, size: int, deadline: float
    ) -> None:
        if source == target or not target:
            return
        budget = name_link_budget(source, target)
        if self._budgets.get_total(budget) is None:
            return
        await self._budgets.charge(budget, float(size), deadline)

    def _list_candidate_peers(self, service: str) -> list[Peer]:
        """Return the peers to ask: those of the own region first.

        Load reports may be a second old.  Therefore the order rotates,
        so that simultaneous requests ask different peers, and if no peer
        reports a free slot, one that owns slots is asked anyway.
        """
        near: list[Peer] = []
        far: list[Peer] = []
        full: list[Peer] = []
        for peer in self._snapshot.peers:
            load = peer.entry.get_load(service)
            if load is None or peer.entry.phase != "serving":
                continue
            if load.free < 1:
                if load.total >= 1:
                    full.append(peer)
            elif peer.region == self._region:
                near.append(peer)
            else:
                far.append(peer)
        self._rotation_count += 1
        if not near and not far:
            return self._rotate(full)[:1]
        return (self._rotate(near) + self._rotate(far))[:MAX_PEERS_PER_SCAN]

    def _rotate(self, peers: list[Peer]) -> list[Peer]:
        if not peers:
            return []
        first = self._rotation_count % len(peers)
        return peers[first:] + peers[:first]

    def _record_result(
        self,
        request: SteeredRequest,
        choice: VersionChoice,
        started: float,
        *,
        failed: bool,
    ) -> None:
        self._versions.observe(
            request.route,
            choice,
            failed=failed,
            latency_s=read_monotonic() - started,
        )


def _build_link_error(
    request: SteeredRequest, error: RateExceeded
) -> RequestError:
    text = f"the request ran, but its answer could not be sent ({error})"
    if request.route.repeatable:
        return UpstreamFailed(f"{text}; send it again")
    return OutcomeUnknown(f"{text}; check its outcome")
