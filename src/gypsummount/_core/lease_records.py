"""The record of a duty's lease, and its fencing token."""

from dataclasses import dataclass

# A token has the store's era in its high part, and is exact as a JSON number.
ERA_SHIFT = 32
MAX_TOKEN = 2**53 - 1
# Step to the next token after a first refusal; it doubles with each further
# one up to the maximum.
REFUSED_STEP = 16
MAX_REFUSED_STEP = 1 << 20


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


def choose_token(
    known: int, era: int, revision: int, refusals: int
) -> int | None:
    """Return a token higher than a known one, or None if there is none.

    It is also higher than the revision of the record that is replaced.  A
    write sent before a restore may have replaced a record of the new era,
    whose token is then known to nobody; the revisions of an era only rise.
    After refusals the step is larger, as the endpoint has seen a higher
    token than the store.
    """
    step = 1
    if refusals > 0:
        step = min(MAX_REFUSED_STEP, REFUSED_STEP << min(refusals - 1, 32))
    token = max(known, era << ERA_SHIFT, revision) + step
    return token if token <= MAX_TOKEN else None
