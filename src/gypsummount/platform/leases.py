"""The store's objects of kind ``leases``, one for each duty."""

from typing import Any

from gypsummount._core.lease_records import LeaseRecord
from gypsummount._core.lease_records import MAX_TOKEN
from gypsummount.errors import RecordInvalid

# The kind is this product's own; the platform does not use it.
LEASE_KIND = "leases"


def encode_lease(record: LeaseRecord) -> dict[str, Any]:
    """Return the body of a conditional write of a record."""
    metadata: dict[str, Any] = {"name": record.duty}
    if record.revision:
        metadata["revision"] = record.revision
    return {
        "metadata": metadata,
        "specification": {
            "holder": record.holder,
            "incarnation": record.incarnation,
            "token": record.token,
            "renewals": record.renewals,
            "released": record.is_released,
            "payload": record.payload,
            "refusals": record.refusals,
        },
    }


def decode_lease(raw: object, era: int) -> LeaseRecord:
    """Return the record of an object.

    :raises RecordInvalid: when a field is missing or invalid.
    """
    try:
        return _decode(raw, era)
    except (KeyError, TypeError, ValueError) as error:
        raise RecordInvalid(
            f"a lease record cannot be decoded ({error!r}); delete the "
            "object if no program of another version writes it"
        ) from None


def _decode(raw: Any, era: int) -> LeaseRecord:
    metadata = raw["metadata"]
    fields = raw["specification"]
    is_released = fields["released"]
    if not isinstance(is_released, bool):
        raise ValueError("released")
    return LeaseRecord(
        _read_text(metadata, "name"),
        _read_text(fields, "holder"),
        _read_number(fields, "incarnation"),
        _read_number(fields, "token"),
        _read_number(fields, "renewals"),
        is_released,
        _read_text(fields, "payload"),
        _read_number(metadata, "revision"),
        era,
        _read_number(fields, "refusals"),
    )


def _read_text(fields: dict[str, Any], name: str) -> str:
    value = fields[name]
    if not isinstance(value, str):
        raise ValueError(name)
    return value


def _read_number(fields: dict[str, Any], name: str) -> int:
    value = fields[name]
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(name)
    if not 0 <= value <= MAX_TOKEN:
        raise ValueError(name)
    return value
