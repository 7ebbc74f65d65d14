"""Shares of workspace rates without a central counter.

Every instance announces its demand and its share.  An instance counts
as silent when no announcement from it arrives, and as live otherwise.
The live instances reserve for each silent instance its last share, or
an equal share if that is larger, and divide the remaining rate in
proportion to the announced demand.  An instance without any live peer
keeps its share, but no more than an equal share.  So the sum of the
shares stays within the rate on both sides of a partition.

In a large fleet most instances see a workspace too seldom for a share of
their own.  There the peers are the regions, and in each region one owner
of the workspace holds the region's share (:mod:`_core.token_owners`).
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field

# Fraction of a workspace's burst that the instances' buckets hold together.
BURST_FRACTION = 0.9
# Smallest bucket size in tokens, whatever the share.
MIN_BURST = 2.0
# Fraction of the rate that is divided equally, whatever the demand.
EQUAL_FRACTION = 0.2
# Smaller demands (1/s) are not announced.
MIN_ANNOUNCED_DEMAND = 0.005
# Weight of the latest measurement in the moving average of the demand.
DEMAND_SMOOTHING = 0.4


@dataclass(slots=True, frozen=True)
class QuotaDemand:
    """Demand (1/s) and share (0 to 1) of a workspace at an instance."""

    demand: float
    share: float


@dataclass(slots=True)
class PeerQuotas:
    """The last announcement of a peer, an instance or a whole region.

    ``is_live`` tells whether it is recent enough for the peer to count
    as live.
    """

    is_live: bool
    by_workspace: dict[str, QuotaDemand] = field(default_factory=dict)


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_at: float
    request_count: int = 0
    demand: float = 0.0
    announced: deque[float] = field(default_factory=deque)
    share: float = 0.0

    @property
    def announced_demand(self) -> float:
        """Return the demand that all peers have heard of by now."""
        return min(self.announced, default=0.0)


@dataclass(slots=True, frozen=True)
class Division:
    """How rates are divided.

    ``lag_rounds`` is the number of announcements after which all peers
    have heard one.  ``part`` is the part (0 to 1) of its share that this
    instance may use, the rest being reserved for silent instances of its
    own region.  ``initial_tokens`` are the tokens of a new bucket; the
    first use lowers them to the bucket's size.  ``equal_fraction`` of a
    rate is divided equally, the rest by demand, whose moving average gives
    the weight ``smoothing`` to the latest measurement.  A bucket holds
    ``min_burst`` tokens at least, whatever the share.  Until its demand
    has been heard, a new bucket gets ``new_fraction`` of an equal share.
    """

    lag_rounds: int = 1
    part: float = 1.0
    initial_tokens: float = float("inf")
    equal_fraction: float = EQUAL_FRACTION
    smoothing: float = DEMAND_SMOOTHING
    min_burst: float = MIN_BURST
    new_fraction: float | None = None


class QuotaShares:
    """Token buckets of one instance for its shares of workspace rates."""

    __slots__ = (
        "_buckets",
        "_division",
        "_equal_share",
        "_initial_share",
        "_measured_at",
    )

    def __init__(self, initial_share: float) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._measured_at: float | None = None
        self._initial_share = initial_share
        self._equal_share = initial_share
        self._division = Division()

    def set_division(self, division: Division) -> None:
        """Set how rates are divided from now on."""
        self._division = division

    def take_token(
        self,
        workspace: str,
        rate: float,
        burst: float,
        now: float,
        *,
        max_wait_s: float,
    ) -> float | None:
        """Take a token and return the seconds to wait before using it.

        A token that accrues within ``max_wait_s`` seconds is taken in
        advance.  None means that none accrues in that time.
        """
        bucket = self._get_bucket(workspace, now)
        bucket.request_count += 1
        if rate <= 0:
            return 0.0
        usable = bucket.share * self._division.part
        local_rate = rate * usable
        min_burst = self._division.min_burst
        capacity = max(min_burst, burst * usable * BURST_FRACTION)
        accrued = (now - bucket.filled_at) * local_rate
        bucket.tokens = min(capacity, bucket.tokens + accrued)
        bucket.filled_at = now
        if bucket.tokens + local_rate * max_wait_s < 1:
            return None
        bucket.tokens -= 1
        return max(0.0, -bucket.tokens / local_rate) if local_rate > 0 else 0.0

    def refund_token(self, workspace: str) -> None:
        """Credit the token of a request that was not sent."""
        if workspace in self._buckets:
            self._buckets[workspace].tokens += 1

    def get_share(self, workspace: str) -> float:
        """Return this instance's share of a rate, 0 to 1."""
        bucket = self._buckets.get(workspace)
        return bucket.share if bucket is not None else 0.0

    def estimate_wait(self, workspace: str, rate: float) -> float:
        """Return an estimate of the seconds until the next token."""
        bucket = self._buckets[workspace]
        local_rate = max(0.1, rate * bucket.share * self._division.part)
        return max(0.05, (1 - bucket.tokens) / local_rate)

    def update_demand(self, now: float) -> None:
        """Update the demand from the requests since the last call."""
        if self._measured_at is not None and now > self._measured_at:
            span_s = now - self._measured_at
            for bucket in self._buckets.values():
                current_demand = bucket.request_count / span_s
                bucket.request_count = 0
                bucket.announced.append(bucket.demand)
                while len(bucket.announced) > self._division.lag_rounds:
                    bucket.announced.popleft()
                bucket.demand += (
                    current_demand - bucket.demand
                ) * self._division.smoothing
        self._measured_at = now

    def list_demands(self) -> dict[str, QuotaDemand]:
        """Return the demands and shares to announce, by workspace.

        Those without demand are left out: others reserve an equal share.
        """
        return {
            name: QuotaDemand(round(bucket.demand, 2), round(bucket.share, 4))
            for name, bucket in self._buckets.items()
            if bucket.demand >= MIN_ANNOUNCED_DEMAND
            or bucket.share > self._equal_share
        }

    def update_shares(self, peers: list[PeerQuotas], now: float) -> None:
        """Recompute the shares from the peers' announcements."""
        silent = [peer for peer in peers if not peer.is_live]
        live = [peer for peer in peers if peer.is_live]
        equal = 1 / (len(peers) + 1)
        self._equal_share = equal
        names = set(self._buckets)
        for name in names:
            bucket = self._get_bucket(name, now)
            reserved = sum(_get_reserved(peer, name, equal) for peer in silent)
            if peers and not live:
                bucket.share = min(bucket.share, equal)
                continue
            remaining = max(0.0, 1 - reserved)
            if self._is_new(bucket):
                live_equal = 1 / (len(live) + 1)
                new_fraction = self._division.new_fraction
                bucket.share = remaining * live_equal * new_fraction
                continue
            bucket.share = _compute_share(
                bucket, live, name, remaining, self._division.equal_fraction
            )

    def _is_new(self, bucket: _Bucket) -> bool:
        """Tell whether a bucket's demand may not have been heard yet."""
        division = self._division
        if division.new_fraction is None:
            return False
        return len(bucket.announced) < division.lag_rounds

    def _get_bucket(self, workspace: str, now: float) -> _Bucket:
        bucket = self._buckets.get(workspace)
        if bucket is None:
            division = self._division
            share = min(self._initial_share, self._equal_share)
            if division.new_fraction is not None:
                share = self._equal_share * division.new_fraction
            tokens = division.initial_tokens
            bucket = _Bucket(tokens, now, share=share)
            self._buckets[workspace] = bucket
        return bucket


def _get_reserved(peer: PeerQuotas, workspace: str, equal: float) -> float:
    quota = peer.by_workspace.get(workspace)
    return max(quota.share, equal) if quota is not None else equal


def _compute_share(
    bucket: _Bucket,
    live: list[PeerQuotas],
    workspace: str,
    remaining: float,
    equal_fraction: float,
) -> float:
    """Return this instance's share of the remaining fraction of the rate.

    Most of it is divided in proportion to the announced demand.  A
    fraction is divided equally, so that an instance without demand can
    serve its first requests.
    """
    peer_quotas = [peer.by_workspace.get(workspace) for peer in live]
    total_demand = bucket.announced_demand + sum(
        quota.demand for quota in peer_quotas if quota
    )
    equal = 1 / (len(live) + 1)
    if total_demand <= 0:
        return remaining * equal
    own_fraction = bucket.announced_demand / total_demand
    return remaining * (
        own_fraction * (1 - equal_fraction) + equal * equal_fraction
    )
