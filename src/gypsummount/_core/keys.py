"""API keys of callers: granting, hashing and verifying."""

from dataclasses import dataclass
from hashlib import sha256
import hmac
import re
from secrets import token_urlsafe

KEY_PREFIX = "gmk_"
KEY_RANDOM_BYTES = 24
KEY_PATTERN = re.compile(r"gmk_[A-Za-z0-9_-]{32}")


@dataclass(slots=True, frozen=True)
class KeyRecord:
    """A granted key, of which only a keyed hash is stored.

    ``digest`` is the hash, of which ``key_id`` is the beginning.
    ``ends_at`` is in seconds since the epoch; zero means no end.
    """

    key_id: str
    workspace: str
    digest: str
    ends_at: float
    asked_by: str


@dataclass(slots=True, frozen=True)
class GrantedKey:
    """A new key and its record; the key itself is stored nowhere."""

    key: str
    record: KeyRecord


def create_key(
    workspace: str, pepper: bytes, *, asked_by: str, ends_at: float
) -> GrantedKey:
    """Create a random key for a workspace.

    ``pepper`` is the secret for the keyed hash; ``ends_at`` is in
    seconds since the epoch, zero for no end.
    """
    key = KEY_PREFIX + token_urlsafe(KEY_RANDOM_BYTES)
    digest = hash_key(key, pepper)
    key_id = digest[:12]
    record = KeyRecord(key_id, workspace, digest, ends_at, asked_by)
    return GrantedKey(key, record)


def hash_key(key: str, pepper: bytes) -> str:
    """Return the keyed hash (HMAC-SHA-256) of a key as hex digits."""
    return hmac.digest(pepper, key.encode(), sha256).hex()


class KeyTable:
    """The granted keys by hash, as of one serial of the key set."""

    __slots__ = ("_pepper", "_records", "serial")

    def __init__(
        self, pepper: bytes, serial: int, records: list[KeyRecord]
    ) -> None:
        self.serial = serial
        self._pepper = pepper
        self._records = {record.digest: record for record in records}

    def has_digest(self, digest: str) -> bool:
        """Tell whether a key with this hash is granted, ended or not."""
        return digest in self._records

    def find(self, key: str, wall_s: float) -> KeyRecord | None:
        """Return the record of a key; None if it is not granted or ended.

        ``wall_s`` is the present time in seconds since the epoch.
        """
        if not KEY_PATTERN.fullmatch(key):
            return None
        record = self._records.get(hash_key(key, self._pepper))
        if record is None:
            return None
        if record.ends_at and wall_s >= record.ends_at:
            return None
        return record
