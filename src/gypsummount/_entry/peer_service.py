"""gRPC service that an entry offers to other entries."""

from typing import final

from grpc.aio import ServicerContext

from gypsummount._common.clocks import read_monotonic
from gypsummount._common.peer_messages import pack_amount
from gypsummount._common.peer_messages import unpack_amount
from gypsummount._core.loans import BorrowRequest
from gypsummount._core.loans import LoanReturn
from gypsummount._core.outcomes import parse_home_token
from gypsummount._core.outcomes import StoredAnswer
from gypsummount._core.sanitizing import Header
from gypsummount._entry.budgets import EntryBudgets
from gypsummount._entry.homes import HomeRunner
from gypsummount._entry.lending import Borrower
from gypsummount._entry.requests import SteeredRequest
from gypsummount._entry.snapshot import Snapshot
from gypsummount._entry.steering import Steering
from gypsummount._proto import peer_pb2
from gypsummount._proto.peer_pb2_grpc import EntryPeerServicer
from gypsummount.errors import NoCapacity
from gypsummount.errors import RequestError
from gypsummount.errors import RequestInvalid


@final
class EntryService(EntryPeerServicer):
    """Handles loan messages and forwarded requests of other entries."""

    def __init__(
        self,
        snapshot: Snapshot,
        budgets: EntryBudgets,
        steering: Steering,
        homes: HomeRunner,
        borrower: Borrower,
    ) -> None:
        self._snapshot = snapshot
        self._budgets = budgets
        self._borrower = borrower
        self._steering = steering
        self._homes = homes
        self._forward_count = 0

    async def Borrow(
        self, request: peer_pb2.BorrowRequest, context: ServicerContext
    ) -> peer_pb2.BorrowReply:
        """Lend a part of a share to another entry.

        Idle loans of the same budget are first returned to their
        lenders.
        """
        self._borrower.return_idle_for(request.budget)
        loan = self._budgets.lend(
            BorrowRequest(
                request.loan_id,
                request.budget,
                unpack_amount(request.wanted),
                request.urgent,
            )
        )
        if loan is None:
            return peer_pb2.BorrowReply(lent=False)
        return peer_pb2.BorrowReply(
            lent=True,
            amount=pack_amount(loan.amount),
            tokens=loan.tokens,
            duration_s=loan.duration_s,
        )

    async def Return(
        self, request: peer_pb2.LoanReturn, context: ServicerContext
    ) -> peer_pb2.Empty:
        """Accept a loan that its borrower returns."""
        self._budgets.accept_return(
            LoanReturn(request.loan_id, request.budget, request.tokens)
        )
        return peer_pb2.Empty()

    async def Forward(
        self, request: peer_pb2.ForwardRequest, context: ServicerContext
    ) -> peer_pb2.ForwardReply:
        """Run a request for another entry.

        It runs on an upstream of this failure domain.  If its idempotency
        key is bound to this entry, it runs at most once, and a retry gets
        the recorded outcome.
        """
        try:
            answer = await self._run_forwarded(request)
        except RequestError as error:
            return peer_pb2.ForwardReply(
                answered=False,
                error_code=error.code,
                error_message=str(error),
            )
        return _pack_answer(answer)

    async def _run_forwarded(
        self, message: peer_pb2.ForwardRequest
    ) -> StoredAnswer:
        request = self._unpack_request(message)
        if message.mode == peer_pb2.FORWARD_MODE_HOME:
            token = parse_home_token(f"home@{message.home_token}")
            if token is None:
                raise RequestInvalid("the home token is malformed")
            return await self._homes.run_as_home(request, token)
        return await self._steering.run_forwarded(
            request, message.version, message.source_region
        )

    def _unpack_request(
        self, message: peer_pb2.ForwardRequest
    ) -> SteeredRequest:
        rules = self._snapshot.rules
        route = rules.find_route(message.method, message.path)
        if route is None:
            raise NoCapacity("this peer has no such route yet")
        self._forward_count += 1
        return SteeredRequest(
            message.workspace,
            message.key_digest,
            route,
            message.method,
            message.path,
            message.query,
            [Header(header.name, header.value) for header in message.headers],
            message.body,
            read_monotonic() + message.deadline_s,
            f"forward-{self._forward_count}",
            message.idempotency_key,
            message.mode == peer_pb2.FORWARD_MODE_UPSTREAM,
        )


def _pack_answer(answer: StoredAnswer) -> peer_pb2.ForwardReply:
    return peer_pb2.ForwardReply(
        answered=True,
        status=answer.status,
        reason=answer.reason,
        headers=[
            peer_pb2.Header(name=name, value=value)
            for name, value in answer.headers
        ],
        body=answer.body,
    )
