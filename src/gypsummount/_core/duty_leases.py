"""Leases of duties: which instance holds a duty, and with which token."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LeaseRecord:
    """State of a duty's lease, as the store holds it.

    ``token`` is the fencing token of the holder, ``renewals`` counts the
    attempts of this holder to write the record, ``payload`` is opaque, and
    ``refusals`` counts duty calls refused for a higher token since the last
    call that was executed.  ``revision`` is 0 for a record that does not
    exist yet.  ``era`` is that of the store's response.
    """

    duty: str
    holder: str
    incarnation: int
    token: int
    renewals: int
    is_released: bool
    payload: str
    revision: int = 0
    era: int = 0
    refusals: int = 0


class LeaseMachine:
    """The lease of one duty, as one instance sees it; has no I/O."""

    def __init__(
        self, duty: str, name: str, incarnation: int, lease_s: float
    ) -> None:
        self.duty = duty
