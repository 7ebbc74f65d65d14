"""Client for the gRPC service of other entries."""

from asyncio import wait_for

from grpc import ChannelConnectivity
from grpc.aio import AioRpcError
from grpc.aio import Channel

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.peer_messages import pack_amount
from gypsummount._common.peer_messages import unpack_amount
from gypsummount._common.rpc import CALL_TIMEOUT_S
from gypsummount._common.rpc import ChannelPool
from gypsummount._core.loans import BorrowRequest
from gypsummount._core.loans import Loan
from gypsummount._core.loans import LoanReturn
from gypsummount._core.outcomes import StoredAnswer
from gypsummount._entry.requests import SteeredRequest
from gypsummount._proto import peer_pb2
from gypsummount._proto.peer_pb2_grpc import EntryPeerStub
from gypsummount.errors import OutcomeUnknown
from gypsummount.errors import PeerUnreachable
from gypsummount.errors import REQUEST_ERRORS
from gypsummount.errors import RequestError
from gypsummount.errors import UpstreamFailed

CONNECT_TIMEOUT_S = 0.5


class PeerClient:
    """Sends loan messages and forwarded requests to other entries."""

    def __init__(self, channels: ChannelPool, region: str) -> None:
        self._channels = channels
        self._region = region

    async def borrow(
        self, address: str, request: BorrowRequest
    ) -> Loan | None:
        """Request a loan; None if the peer lends nothing or is unreachable."""
        message = peer_pb2.BorrowRequest(
            loan_id=request.loan_id,
            budget=request.budget,
            wanted=pack_amount(request.wanted),
            urgent=request.is_urgent,
        )
        stub = EntryPeerStub(self._channels.find(address))
        try:
            reply = await stub.Borrow(message, timeout=CALL_TIMEOUT_S)
        except AioRpcError:
            return None
        if not reply.lent:
            return None
        return Loan(
            request.loan_id,
            request.budget,
            unpack_amount(reply.amount),
            reply.tokens,
            reply.duration_s,
        )

    async def return_loan(self, address: str, message: LoanReturn) -> None:
        """Return a loan to its lender.

        A failed call is ignored, since the loan expires by itself.
        """
        packed = peer_pb2.LoanReturn(
            loan_id=message.loan_id,
            budget=message.budget,
            tokens=message.tokens,
        )
        stub = EntryPeerStub(self._channels.find(address))
        try:
            await stub.Return(packed, timeout=CALL_TIMEOUT_S)
        except AioRpcError:
            return

    async def is_reachable(self, address: str) -> bool:
        """Tell whether a peer is connected; connect to it if needed.

        Waits at most :data:`CONNECT_TIMEOUT_S` for the connection.
        """
        channel = self._channels.find(address)
        if channel.get_state(True) is ChannelConnectivity.READY:
            return True
        return await _wait_ready(channel)

    async def forward_upstream(
        self, address: str, request: SteeredRequest, version: str
    ) -> StoredAnswer:
        """Run a request on the upstreams of a peer's failure domain.

        :raises PeerUnreachable: when the request was not sent.
        :raises RequestError: as the peer reported it.
        :raises UpstreamFailed: when the call failed, on a repeatable
            route.
        :raises OutcomeUnknown: when the call failed, on other routes.
        """
        message = self._build_forward(request)
        message.mode = peer_pb2.FORWARD_MODE_UPSTREAM
        message.version = version
        return await self._forward(address, message, request)

    async def forward_home(
        self, address: str, request: SteeredRequest, token: str
    ) -> StoredAnswer:
        """Forward a request to the entry that its idempotency key is bound to.

        :raises PeerUnreachable: when the request was not sent.
        :raises RequestError: as that entry reported it.
        :raises UpstreamFailed: when the call failed, on a repeatable
            route.
        :raises OutcomeUnknown: when the call failed, on other routes.
        """
        message = self._build_forward(request)
        message.mode = peer_pb2.FORWARD_MODE_HOME
        message.idempotency_key = request.idempotency_key
        message.home_token = token
        return await self._forward(address, message, request)

    def _build_forward(
        self, request: SteeredRequest
    ) -> peer_pb2.ForwardRequest:
        return peer_pb2.ForwardRequest(
            workspace=request.workspace,
            key_digest=request.key_digest,
            method=request.method,
            path=request.path,
            query=request.query,
            headers=[
                peer_pb2.Header(name=header.name, value=header.value)
                for header in request.headers
            ],
            body=request.body,
            deadline_s=request.deadline - read_monotonic(),
            source_region=self._region,
        )

    async def _forward(
        self,
        address: str,
        message: peer_pb2.ForwardRequest,
        request: SteeredRequest,
    ) -> StoredAnswer:
        if not await self.is_reachable(address):
            raise PeerUnreachable("a peer is out of reach; try again in 1 s")
        stub = EntryPeerStub(self._channels.find(address))
        remaining_s = request.deadline - read_monotonic()
        if remaining_s <= 0:
            raise PeerUnreachable("the deadline passed; allow more time")
        try:
            reply = await stub.Forward(message, timeout=remaining_s)
        except AioRpcError as error:
            raise _build_lost_reply_error(request, error) from None
        return _unpack_reply(reply)


async def _wait_ready(channel: Channel) -> bool:
    try:
        await wait_for(channel.channel_ready(), CONNECT_TIMEOUT_S)
    except TimeoutError:
        return False
    return True


def _build_lost_reply_error(
    request: SteeredRequest, error: AioRpcError
) -> RequestError:
    cause = f"the entry that ran it gave no answer ({error.code().name})"
    if request.route.repeatable:
        return UpstreamFailed(f"{cause}; send it again")
    return OutcomeUnknown(
        f"{cause}; look it up, or retry with the same Idempotency-Key"
    )


def _unpack_reply(reply: peer_pb2.ForwardReply) -> StoredAnswer:
    if not reply.answered:
        error_class = REQUEST_ERRORS.get(reply.error_code, UpstreamFailed)
        raise error_class(reply.error_message)
    return StoredAnswer(
        reply.status,
        reply.reason,
        tuple((header.name, header.value) for header in reply.headers),
        reply.body,
    )
