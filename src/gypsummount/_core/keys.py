"""Keys of callers: granting, hashing and verifying."""

from dataclasses import dataclass
from hashlib import sha256
import hmac
import re
from secrets import token_urlsafe

KEY_PREFIX = "gmk_"
KEY_BYTES = 24
KEY_PATTERN = re.compile(r"gmk_[A-Za-z0-9_-]{32}")


@dataclass(slots=True, frozen=True)
class KeyRecord:
    """A granted key; only its keyed hash is known.

    ``ends_at`` is in seconds since the epoch, zero for no end.
    """

    key_id: str
    workspace: str
    digest: str
    ends_at: float
    asked_by: str


@dataclass(slots=True, frozen=True)
class GrantedKey:
    """A new key, shown once, and its record."""

    key: str
    record: KeyRecord


def create_key(
    workspace: str, pepper: bytes, *, asked_by: str, ends_at: float
) -> GrantedKey:
    """Return a new random key for a workspace."""
    key = KEY_PREFIX + token_urlsafe(KEY_BYTES)
    digest = hash_key(key, pepper)
    key_id = digest[:12]
    record = KeyRecord(key_id, workspace, digest, ends_at, asked_by)
    return GrantedKey(key, record)


def hash_key(key: str, pepper: bytes) -> str:
    """Return the keyed hash of a key as hexadecimal text."""
    return hmac.digest(pepper, key.encode(), sha256).hex()


class KeyTable:
    """The keys that are granted at present, by their hash."""

    __slots__ = ("_pepper", "_records", "serial")

    def __init__(
        self, pepper: bytes, serial: int, records: list[KeyRecord]
    ) -> None:
        self.serial = serial
        self._pepper = pepper
        self._records = {record.digest: record for record in records}

    def has_digest(self, digest: str) -> bool:
        """Tell whether the key with a hash is still granted."""
        return digest in self._records

    def find(self, key: str, wall_s: float) -> KeyRecord | None:
        """Return the record of a key that is granted and not ended."""
        if not KEY_PATTERN.fullmatch(key):
            return None
        record = self._records.get(hash_key(key, self._pepper))
        if record is None:
            return None
        if record.ends_at and wall_s >= record.ends_at:
            return None
        return record
