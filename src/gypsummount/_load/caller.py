"""A caller that looks up entries, sends requests and retries them."""

from dataclasses import dataclass
from dataclasses import field
from json import loads
from random import Random
from secrets import token_hex

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.sanitizing import Header
from gypsummount._entry.connections import ConnectionPool
from gypsummount._entry.exchanges import ExchangeError
from gypsummount._entry.exchanges import UpstreamAnswer
from gypsummount._entry.exchanges import UpstreamRequest

LOOKUP_TIMEOUT_S = 2.0
OUTCOME_HEADER = "gypsummount-outcome"
NONCE_BYTES = 8


@dataclass(slots=True, frozen=True)
class Target:
    """One entry in a look-up answer, with its address and weight.

    An idempotency key that ends with ``token`` is bound to the running
    process of this entry.  The look-up answer holds the token as
    ``incarnation``.
    """

    address: str
    token: str
    weight: int


@dataclass(slots=True)
class Lookup:
    """A cached look-up answer; ``expires_at`` is in monotonic seconds."""

    targets: list[Target]
    expires_at: float


@dataclass(slots=True, frozen=True)
class Call:
    """One request of a caller.

    ``timeout_s`` is the time for all attempts together; ``retries`` is the
    number of attempts after the first.
    """

    service: str
    method: str
    path: str
    body: bytes = b""
    repeatable: bool = True
    timeout_s: float = 3.0
    retries: int = 2


@dataclass(slots=True, frozen=True)
class CallResult:
    """The result of a request.

    ``code`` is the error code, empty where an upstream answered.  Three
    codes come from this client: ``no_entry`` (no look-up returned an
    entry), ``entry_lost`` (an entry gave no complete answer) and
    ``refused`` (an error answer has no body).  ``status`` is 0 where no
    entry answered.
    """

    status: int
    code: str
    outcome: str
    latency_s: float
    body: bytes = b""
    idempotency_key: str = ""

    @property
    def is_good(self) -> bool:
        """Return whether an upstream answered with status 200 to 399."""
        return not self.code and 200 <= self.status < 400


@dataclass(slots=True)
class Caller:
    """A client that caches look-up answers and reuses connections.

    ``entries`` are the addresses for look-ups, the nearest first; the
    others are fallbacks.  ``lookup_error`` is the last error answer to a
    look-up.
    """

    key: str
    entries: list[str]
    random: Random
    lookup_error: CallResult | None = None
    pools: dict[str, ConnectionPool] = field(default_factory=dict)
    lookups: dict[str, Lookup] = field(default_factory=dict)

    async def call(self, call: Call) -> CallResult:
        """Send a request, with retries, and return the last result.

        All attempts of a call that is not repeatable carry the same
        idempotency key, so that it runs at most once.
        """
        started = read_monotonic()
        deadline = started + call.timeout_s
        result = CallResult(0, "no_entry", "not-run", 0.0)
        idempotency_key = ""
        for _ in range(call.retries + 1):
            target = await self._choose_target(call.service, result)
            if target is None:
                result = self.lookup_error or result
                continue
            if not call.repeatable and not idempotency_key:
                nonce = token_hex(NONCE_BYTES)
                idempotency_key = f"{nonce}@{target.token}"
            result = await self._send(
                call, target, deadline, started, idempotency_key
            )
            if result.is_good or not _is_retryable(result):
                break
            if read_monotonic() >= deadline:
                break
        return result

    def close(self) -> None:
        """Close the connections to all entries."""
        for pool in self.pools.values():
            pool.close()

    async def _send(
        self,
        call: Call,
        target: Target,
        deadline: float,
        started: float,
        idempotency_key: str,
    ) -> CallResult:
        remaining_s = max(0.01, deadline - read_monotonic())
        headers = [Header("Authorization", f"Bearer {self.key}")]
        headers.append(
            Header("Gypsummount-Deadline-Ms", str(int(remaining_s * 1000)))
        )
        if idempotency_key:
            headers.append(Header("Idempotency-Key", idempotency_key))
        request = UpstreamRequest(
            call.method, call.path, tuple(headers), call.body, token_hex(4)
        )
        pool = self._get_pool(target.address)
        try:
            # The 0.5 s let the entry's own time-out error arrive.
            answer = await pool.send(
                request, remaining_s + 0.5, repeatable=call.repeatable
            )
        except ExchangeError:
            self.lookups.pop(call.service, None)
            return CallResult(
                0,
                "entry_lost",
                "unknown",
                read_monotonic() - started,
                b"",
                idempotency_key,
            )
        return _read_result(
            answer, read_monotonic() - started, idempotency_key
        )

    async def _choose_target(
        self, service: str, last_result: CallResult
    ) -> Target | None:
        lookup = self.lookups.get(service)
        if lookup is None or lookup.expires_at <= read_monotonic():
            lookup = await self._look_up(service)
        if lookup is None or not lookup.targets:
            return None
        # The weights may not reflect the failure yet, so each entry is
        # equally likely to be chosen.
        if last_result.code in ("entry_lost", "no_capacity"):
            return self.random.choice(lookup.targets)
        weights = [target.weight for target in lookup.targets]
        return self.random.choices(lookup.targets, weights)[0]

    async def _look_up(self, service: str) -> Lookup | None:
        request = UpstreamRequest(
            "GET",
            f"/v1/lookup?service={service}",
            (Header("Authorization", f"Bearer {self.key}"),),
            b"",
            token_hex(4),
        )
        for address in self.entries:
            pool = self._get_pool(address)
            try:
                answer = await pool.send(
                    request, LOOKUP_TIMEOUT_S, repeatable=True
                )
            except ExchangeError:
                continue
            if answer.status != 200:
                self.lookup_error = _read_result(answer, 0.0, "")
                continue
            document = loads(answer.body)
            targets = [
                Target(row["address"], row["incarnation"], row["weight"])
                for row in document["entries"]
            ]
            lookup = Lookup(targets, read_monotonic() + document["ttl_s"])
            self.lookups[service] = lookup
            return lookup
        return None

    def _get_pool(self, address: str) -> ConnectionPool:
        pool = self.pools.get(address)
        if pool is None:
            pool = ConnectionPool(address)
            self.pools[address] = pool
        return pool


def _read_result(
    answer: UpstreamAnswer, latency_s: float, idempotency_key: str
) -> CallResult:
    outcome, code = "", ""
    for header in answer.headers:
        if header.name.lower() == OUTCOME_HEADER:
            outcome = header.value
    if outcome:
        code = str(loads(answer.body)["code"]) if answer.body else "refused"
    return CallResult(
        answer.status, code, outcome, latency_s, answer.body, idempotency_key
    )


def _is_retryable(result: CallResult) -> bool:
    return result.code in (
        "entry_lost",
        "no_capacity",
        "not_ready",
        "no_entry",
        "outcome_unknown",
        "peer_unreachable",
        "upstream_failed",
    )
