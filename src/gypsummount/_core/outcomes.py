"""Table of the outcomes of requests with an idempotency key.

Such a request runs at most once.
"""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

# Duration of an epoch.
EPOCH_S = 120.0
# Records are kept for this many epochs, the current one included.
KEPT_EPOCHS = 4
MAX_RECORDS = 50_000
MAX_BYTES = 16 * 1024 * 1024


class Verdict(Enum):
    """Decision on a request with an idempotency key.

    ``RUN`` lets the request run, ``WAIT`` makes it wait for an earlier
    request with its key, and ``REPLAY`` answers it with the stored
    answer.  The others refuse it: the outcome is unknown, the table is
    full, the key was used with a different request, or the key's token
    was never issued.
    """

    RUN = "run"
    WAIT = "wait"
    REPLAY = "replay"
    UNKNOWN = "unknown"
    FULL = "full"
    REUSED = "reused"
    NOT_ISSUED = "not-issued"


class RecordState(Enum):
    """State of the request with a key."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class StoredAnswer:
    """An upstream's complete answer, kept to be replayed to retries."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True, frozen=True)
class RequestKey:
    """An idempotency key, unique within its workspace."""

    workspace: str
    text: str


@dataclass(slots=True, frozen=True)
class HomeToken:
    """The entry incarnation and epoch that a key is bound to."""

    incarnation: str
    epoch: int

    def __str__(self) -> str:
        return f"{self.incarnation}.{self.epoch}"


@dataclass(slots=True)
class OutcomeRecord:
    """Record of the request with one key.

    ``fingerprint`` identifies the request, so that another request with
    the same key is detected.
    """

    fingerprint: bytes
    state: RecordState = RecordState.RUNNING
    answer: StoredAnswer | None = None


@dataclass(slots=True)
class _Epoch:
    number: int
    records: dict[RequestKey, OutcomeRecord] = field(default_factory=dict)
    size: int = 0


def parse_home_token(key: str) -> HomeToken | None:
    """Return the token that a key ends with, or None if it has none.

    A bound key has the form ``TEXT@INCARNATION.EPOCH``.
    """
    _, at_sign, token_text = key.rpartition("@")
    incarnation, dot, epoch = token_text.rpartition(".")
    if not at_sign or not dot or not epoch.isdecimal() or not incarnation:
        return None
    return HomeToken(incarnation, int(epoch))


class OutcomeTable:
    """Outcomes by key, bounded by count, bytes and age.

    A key is bound to an epoch of this incarnation.  Records are dropped
    in complete epochs, and a key of a dropped epoch is answered as
    unknown, so a dropped record never leads to a second run.  A full
    table refuses new keys; it drops no record that is still valid.
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
        """Return the size of the stored answers' bodies in bytes."""
        return sum(epoch.size for epoch in self._epochs.values())

    def issue_token(self, now: float) -> HomeToken:
        """Return the token to which new keys are bound."""
        return HomeToken(self.incarnation, self._compute_epoch(now))

    def begin(
        self,
        key: RequestKey,
        token: HomeToken,
        fingerprint: bytes,
        now: float,
    ) -> Verdict:
        """Decide on a request; with ``RUN`` it is recorded as running."""
        current = self._compute_epoch(now)
        self._drop_epochs(current)
        if token.incarnation != self.incarnation or token.epoch > current:
            return Verdict.NOT_ISSUED
        if token.epoch <= current - KEPT_EPOCHS:
            return Verdict.UNKNOWN
        epoch = self._epochs.setdefault(token.epoch, _Epoch(token.epoch))
        record = epoch.records.get(key)
        if record is not None:
            return _decide_repeat(record, fingerprint)
        if self.count >= self._max_records or self.size >= self._max_bytes:
            return Verdict.FULL
        epoch.records[key] = OutcomeRecord(fingerprint)
        return Verdict.RUN

    def find(self, key: RequestKey, token: HomeToken) -> OutcomeRecord | None:
        """Return the record of a key, or None if there is none."""
        epoch = self._epochs.get(token.epoch)
        return epoch.records.get(key) if epoch else None

    def finish(
        self, key: RequestKey, token: HomeToken, answer: StoredAnswer
    ) -> None:
        """Store the answer of a request that ran.

        If the answer exceeds the limit on bytes, the outcome becomes
        unknown.
        """
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
        """Record that the outcome of a request cannot be known."""
        record = self.find(key, token)
        if record is not None:
            record.state = RecordState.UNKNOWN

    def discard(self, key: RequestKey, token: HomeToken) -> None:
        """Drop the record of a request of which no byte was sent.

        A retry with the same key may then run.
        """
        epoch = self._epochs.get(token.epoch)
        if epoch is not None:
            epoch.records.pop(key, None)

    def _compute_epoch(self, now: float) -> int:
        return int((now - self._started_at) / EPOCH_S)

    def _drop_epochs(self, current: int) -> None:
        for number in list(self._epochs):
            if number <= current - KEPT_EPOCHS:
                del self._epochs[number]


def _decide_repeat(record: OutcomeRecord, fingerprint: bytes) -> Verdict:
    if record.fingerprint != fingerprint:
        return Verdict.REUSED
    if record.state is RecordState.RUNNING:
        return Verdict.WAIT
    if record.state is RecordState.DONE:
        return Verdict.REPLAY
    return Verdict.UNKNOWN
