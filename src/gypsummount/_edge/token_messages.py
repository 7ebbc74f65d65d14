"""Datagrams by which instances request tokens of workspace rates."""

from dataclasses import dataclass
from struct import error as StructError
from struct import Struct

from gypsummount.errors import RecordInvalid

REQUEST_MARK = b"\xffA"
GRANT_MARK = b"\xffG"
REFUND_MARK = b"\xffR"
MARK_BYTES = 2
_REQUEST = Struct("!Qd")
_GRANT = Struct("!Qdd")
# The wait in a grant that gives no token.
_NO_TOKEN = -1.0


@dataclass(slots=True, frozen=True)
class TokenRequest:
    """Requests a token that is usable within ``max_wait_s``.

    ``number`` identifies the request at its sender; a repeated one has the
    same number.
    """

    number: int
    workspace: str
    max_wait_s: float


@dataclass(slots=True, frozen=True)
class TokenGrant:
    """The answer to a token request.

    ``wait_s`` is the time until the token may be used, or None if there is
    no token; a new attempt is then useful after ``retry_after_s``.
    """

    wait_s: float | None
    retry_after_s: float = 0.0


def encode_request(request: TokenRequest) -> bytes:
    """Return a token request as a datagram."""
    head = _REQUEST.pack(request.number, request.max_wait_s)
    return REQUEST_MARK + head + request.workspace.encode()


def decode_request(data: bytes) -> TokenRequest:
    """Return the token request in a datagram.

    :raises RecordInvalid: when it cannot be decoded.
    """
    try:
        number, max_wait_s = _REQUEST.unpack_from(data, MARK_BYTES)
        name = data[MARK_BYTES + _REQUEST.size :].decode()
    except (StructError, ValueError) as error:
        raise _build_invalid(error) from None
    return TokenRequest(number, name, max_wait_s)


def encode_grant(number: int, grant: TokenGrant) -> bytes:
    """Return the grant for a numbered request as a datagram."""
    wait_s = _NO_TOKEN if grant.wait_s is None else grant.wait_s
    return GRANT_MARK + _GRANT.pack(number, wait_s, grant.retry_after_s)


def decode_grant(data: bytes) -> tuple[int, TokenGrant]:
    """Return the number of a token request and its grant.

    :raises RecordInvalid: when the datagram cannot be decoded.
    """
    try:
        number, wait_s, retry_after_s = _GRANT.unpack_from(data, MARK_BYTES)
    except StructError as error:
        raise _build_invalid(error) from None
    has_token = wait_s >= 0
    return number, TokenGrant(wait_s if has_token else None, retry_after_s)


def encode_refund(workspace: str) -> bytes:
    """Return the message that a token was not used."""
    return REFUND_MARK + workspace.encode()


def decode_refund(data: bytes) -> str:
    """Return the workspace whose token was not used.

    :raises RecordInvalid: when it cannot be decoded.
    """
    try:
        return data[MARK_BYTES:].decode()
    except ValueError as error:
        raise _build_invalid(error) from None


def _build_invalid(error: Exception) -> RecordInvalid:
    return RecordInvalid(
        f"a token message cannot be decoded ({error!r}); check which program "
        "sends to the gossip port"
    )
