"""Tokens of workspace rates, taken here or from the region's owner."""

from asyncio import Future
from asyncio import get_running_loop
from asyncio import wait_for
from collections import OrderedDict
from collections.abc import Callable
from random import getrandbits

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.catalog import EdgeWorkspace
from gypsummount._core.quotas import Division
from gypsummount._core.quotas import QuotaShares
from gypsummount._core.token_owners import divide_region
from gypsummount._core.token_owners import rank_owners
from gypsummount._edge.gossip import Gossip
from gypsummount._edge.peers import Peers
from gypsummount._edge.replica import Replica
from gypsummount._edge.token_messages import decode_grant
from gypsummount._edge.token_messages import decode_refund
from gypsummount._edge.token_messages import decode_request
from gypsummount._edge.token_messages import encode_grant
from gypsummount._edge.token_messages import encode_refund
from gypsummount._edge.token_messages import encode_request
from gypsummount._edge.token_messages import GRANT_MARK
from gypsummount._edge.token_messages import REFUND_MARK
from gypsummount._edge.token_messages import REQUEST_MARK
from gypsummount._edge.token_messages import TokenGrant
from gypsummount._edge.token_messages import TokenRequest

# Time limits (s) of the requests to an owner, in order, as datagrams get lost.
REQUEST_TIMEOUTS_S = (0.08, 0.15)
# An owner that has not answered is passed over for this long.
SUSPECT_S = 2.0
NO_OWNER_RETRY_S = 0.3
MAX_REMEMBERED_GRANTS = 512
NUMBER_BITS = 48

Sender = Callable[[bytes, str], None]


class Tokens:
    """Takes tokens from the buckets of this instance or of an owner.

    In a small fleet every instance has a share of each rate.  In a large
    one the tokens of a workspace come from its owner in the region.
    ``unanswered`` counts the requests for which an owner gave no answer.
    """

    def __init__(
        self,
        own: str,
        quotas: QuotaShares,
        replica: Replica,
        peers: Peers,
        send: Sender,
    ) -> None:
        self._own = own
        self._quotas = quotas
        self._replica = replica
        self._peers = peers
        self._send = send
        self._hosts: dict[str, str] = {}
        self._owners: dict[str, tuple[str, ...]] = {}
        self._suspect_until: dict[str, float] = {}
        self._pending: dict[int, Future[TokenGrant]] = {}
        # Numbers of an earlier start of this instance are not used again.
        self._number = getrandbits(NUMBER_BITS)
        self.unanswered = 0
        self._granted: OrderedDict[tuple[str, int], TokenGrant] = OrderedDict()

    def add_handlers(self, gossip: Gossip) -> None:
        """Receive the token messages that arrive on the gossip port."""
        gossip.add_handler(REQUEST_MARK, self.receive_request)
        gossip.add_handler(GRANT_MARK, self.receive_grant)
        gossip.add_handler(REFUND_MARK, self.receive_refund)

    def update(self, unknown: int, now: float) -> None:
        """Update the owners and the part of the rates to use.

        ``unknown`` is the number of registered instances that have not
        been heard yet.
        """
        if not self._peers.is_grouped:
            self._quotas.set_division(Division())
            self._hosts = {}
            return
        hosts = {
            digest.name: digest.host
            for digest in self._peers.list_live_in_region(now)
        }
        if hosts != self._hosts:
            self._hosts = hosts
            self._owners.clear()
        known = len(self._peers.list_own_region_names()) + unknown + 1
        self._quotas.set_division(divide_region(len(hosts) + 1, known))

    async def take(
        self, workspace: EdgeWorkspace, max_wait_s: float
    ) -> TokenGrant:
        """Take a token that is usable within ``max_wait_s``."""
        if workspace.rate <= 0:
            return TokenGrant(0.0)
        now = read_monotonic()
        for owner in self._rank(workspace.name):
            if owner == self._own:
                return self._take_here(workspace, max_wait_s, now)
            if self._suspect_until.get(owner, 0.0) > now:
                continue
            grant = await self._request(owner, workspace.name, max_wait_s)
            if grant is not None:
                return grant
            self.unanswered += 1
            self._suspect_until[owner] = read_monotonic() + SUSPECT_S
        return TokenGrant(None, NO_OWNER_RETRY_S)

    def refund(self, workspace: str) -> None:
        """Return the token of a request that was not sent."""
        owner = self._rank(workspace)[0]
        if owner == self._own:
            self._quotas.refund_token(workspace)
        else:
            self._send(encode_refund(workspace), self._hosts[owner])

    def receive_request(self, data: bytes, host: str) -> None:
        """Answer a peer's request; a repeated one gets the same answer."""
        request = decode_request(data)
        key = (host, request.number)
        grant = self._granted.get(key)
        if grant is None:
            grant = self._grant(request)
            self._granted[key] = grant
            if len(self._granted) > MAX_REMEMBERED_GRANTS:
                self._granted.popitem(last=False)
        self._send(encode_grant(request.number, grant), host)

    def receive_grant(self, data: bytes, host: str) -> None:
        """Hand a grant to the request that waits for it.

        A token that comes too late is lost; others are refused for it, at
        worst.
        """
        number, grant = decode_grant(data)
        waiting = self._pending.get(number)
        if waiting is not None and not waiting.done():
            waiting.set_result(grant)

    def receive_refund(self, data: bytes, host: str) -> None:
        """Credit the token that a peer did not use."""
        self._quotas.refund_token(decode_refund(data))

    def count_owned(self) -> int:
        """Return how many workspaces this instance owns, by those in use."""
        return sum(
            1 for ranked in self._owners.values() if ranked[0] == self._own
        )

    def _rank(self, workspace: str) -> tuple[str, ...]:
        if not self._hosts:
            return (self._own,)
        owners = self._owners.get(workspace)
        if owners is None:
            owners = rank_owners(workspace, (*self._hosts, self._own))
            self._owners[workspace] = owners
        return owners

    def _grant(self, request: TokenRequest) -> TokenGrant:
        catalog = self._replica.catalog
        workspace = None
        if catalog is not None:
            workspace = catalog.workspaces.get(request.workspace)
        if workspace is None:
            return TokenGrant(None, NO_OWNER_RETRY_S)
        return self._take_here(workspace, request.max_wait_s, read_monotonic())

    def _take_here(
        self, workspace: EdgeWorkspace, max_wait_s: float, now: float
    ) -> TokenGrant:
        wait_s = self._quotas.take_token(
            workspace.name,
            workspace.rate,
            workspace.burst,
            now,
            max_wait_s=max_wait_s,
        )
        if wait_s is not None:
            return TokenGrant(wait_s)
        retry_after_s = self._quotas.estimate_wait(
            workspace.name, workspace.rate
        )
        return TokenGrant(None, retry_after_s)

    async def _request(
        self, owner: str, workspace: str, max_wait_s: float
    ) -> TokenGrant | None:
        """Return the owner's grant, or None if it does not answer."""
        self._number += 1
        number = self._number
        request = encode_request(TokenRequest(number, workspace, max_wait_s))
        try:
            for timeout_s in REQUEST_TIMEOUTS_S:
                answered: Future[TokenGrant] = (
                    get_running_loop().create_future()
                )
                self._pending[number] = answered
                host = self._hosts.get(owner)
                if host is None:
                    return None
                self._send(request, host)
                try:
                    return await wait_for(answered, timeout_s)
                except TimeoutError:
                    continue
            return None
        finally:
            del self._pending[number]
