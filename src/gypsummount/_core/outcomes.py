"""The table of outcomes of requests that may run at most once."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

EPOCH_S = 120.0
KEPT_EPOCHS = 4
MAX_RECORDS = 50_000
MAX_BYTES = 16 * 1024 * 1024


class Verdict(Enum):
    """What to do with a request that came with an idempotency key."""

    RUN = "run"
    WAIT = "wait"
    REPLAY = "replay"
    UNKNOWN = "unknown"
    FULL = "full"
    REUSED = "reused"
    NOT_ISSUED = "not-issued"


class RecordState(Enum):
    """Where the request of a key stands."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class StoredAnswer:
    """A complete answer of an upstream, kept for retries."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True, frozen=True)
class RequestKey:
    """An idempotency key inside a workspace."""

    workspace: str
    text: str


@dataclass(slots=True, frozen=True)
class HomeToken:
    """The incarnation and epoch that an idempotency key is bound to."""

    incarnation: str
    epoch: int

    def __str__(self) -> str:
        return f"{self.incarnation}.{self.epoch}"


@dataclass(slots=True)
class OutcomeRecord:
    """What is known of the request with one key."""

    fingerprint: bytes
    state: RecordState = RecordState.RUNNING
    answer: StoredAnswer | None = None


@dataclass(slots=True)
class _Epoch:
    number: int
    records: dict[RequestKey, OutcomeRecord] = field(default_factory=dict)
    size: int = 0


def parse_home(key: str) -> HomeToken | None:
    """Return the token that a key is bound to, or None if unbound."""
    _, mark, bound = key.rpartition("@")
    incarnation, dot, epoch = bound.rpartition(".")
    if not mark or not dot or not epoch.isdecimal() or not incarnation:
        return None
    return HomeToken(incarnation, int(epoch))


class OutcomeTable:
    """Bounded by count, bytes and age; never forgets a valid key.

    A key is bound to an epoch of this incarnation.  Records are dropped
    by whole epochs, and a key of a dropped epoch is answered as
    unknown, so forgetting never leads to a second run.
    """

    __slots__ = (
        "_epochs",
        "_max_bytes",
        "_max_records",
        "_started_at",
        "incarnation",
    )

    def __init__(
        self,
        incarnation: str,
        now: float,
        *,
        max_records: int = MAX_RECORDS,
        max_bytes: int = MAX_BYTES,
    ) -> None:
        self.incarnation = incarnation
        self._started_at = now
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._epochs: dict[int, _Epoch] = {}

    @property
    def count(self) -> int:
        """Return the number of records."""
        return sum(len(epoch.records) for epoch in self._epochs.values())

    @property
    def size(self) -> int:
        """Return the bytes of the stored answers."""
        return sum(epoch.size for epoch in self._epochs.values())

    def issue_token(self, now: float) -> HomeToken:
        """Return the token that new keys are to be bound to."""
        return HomeToken(self.incarnation, self._find_epoch(now))

    def begin(
        self,
        key: RequestKey,
        token: HomeToken,
        fingerprint: bytes,
        now: float,
    ) -> Verdict:
        """Decide on a request; ``RUN`` records it as running."""
        current = self._find_epoch(now)
        self._drop_epochs(current)
        if token.incarnation != self.incarnation or token.epoch > current:
            return Verdict.NOT_ISSUED
        if token.epoch <= current - KEPT_EPOCHS:
            return Verdict.UNKNOWN
        epoch = self._epochs.setdefault(token.epoch, _Epoch(token.epoch))
        record = epoch.records.get(key)
        if record is not None:
            return _judge_record(record, fingerprint)
        if self.count >= self._max_records or self.size >= self._max_bytes:
            return Verdict.FULL
        epoch.records[key] = OutcomeRecord(fingerprint)
        return Verdict.RUN

    def find(self, key: RequestKey, token: HomeToken) -> OutcomeRecord | None:
        """Return the record of a key, if it is still held."""
        epoch = self._epochs.get(token.epoch)
        return epoch.records.get(key) if epoch else None

    def finish(
        self, key: RequestKey, token: HomeToken, answer: StoredAnswer
    ) -> None:
        """Keep the answer of a request that ran."""
        record = self.find(key, token)
        if record is None:
            return
        if self.size + len(answer.body) > self._max_bytes:
            record.state = RecordState.UNKNOWN
            return
        record.state = RecordState.DONE
        record.answer = answer
        self._epochs[token.epoch].size += len(answer.body)

    def lose(self, key: RequestKey, token: HomeToken) -> None:
        """Note that the outcome of a request cannot be known."""
        record = self.find(key, token)
        if record is not None:
            record.state = RecordState.UNKNOWN

    def withdraw(self, key: RequestKey, token: HomeToken) -> None:
        """Drop the record of a request of which no byte was sent."""
        epoch = self._epochs.get(token.epoch)
        if epoch is not None:
            epoch.records.pop(key, None)

    def _find_epoch(self, now: float) -> int:
        return int((now - self._started_at) / EPOCH_S)

    def _drop_epochs(self, current: int) -> None:
        for number in list(self._epochs):
            if number <= current - KEPT_EPOCHS:
                del self._epochs[number]


def _judge_record(record: OutcomeRecord, fingerprint: bytes) -> Verdict:
    if record.fingerprint != fingerprint:
        return Verdict.REUSED
    if record.state is RecordState.RUNNING:
        return Verdict.WAIT
    if record.state is RecordState.DONE:
        return Verdict.REPLAY
    return Verdict.UNKNOWN
