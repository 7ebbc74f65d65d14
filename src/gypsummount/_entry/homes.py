"""At-most-once execution of requests with an idempotency key.

The home of a key is the entry incarnation that the key is bound to.  Only
the home runs the request and records its outcome.
"""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import shield
from asyncio import Task
from asyncio import wait_for
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

from gypsummount._common.clocks import read_monotonic
from gypsummount._core.outcomes import HomeToken
from gypsummount._core.outcomes import OutcomeTable
from gypsummount._core.outcomes import parse_home_token
from gypsummount._core.outcomes import RequestKey
from gypsummount._core.outcomes import StoredAnswer
from gypsummount._core.outcomes import Verdict
from gypsummount._entry.peer_client import PeerClient
from gypsummount._entry.requests import SteeredRequest
from gypsummount._entry.snapshot import Snapshot
from gypsummount._entry.steering import Steering
from gypsummount.errors import ClaimUnavailable
from gypsummount.errors import IdempotencyKeyReused
from gypsummount.errors import Outcome
from gypsummount.errors import OutcomeTableFull
from gypsummount.errors import OutcomeUnknown
from gypsummount.errors import PeerUnreachable
from gypsummount.errors import RequestError
from gypsummount.errors import RequestInvalid

Claim = Callable[[str, str, str], Awaitable[str | None]]
_OUTCOME_HINT = "check the outcome before you send a new request"


@dataclass(slots=True, frozen=True)
class _RunningKey:
    key: RequestKey
    token: HomeToken


class HomeRunner:
    """Runs the request of each key at most once and replays its answer.

    ``claim`` takes a workspace, a key without a home and this entry's
    token, and binds the key in the store.  It returns the token that the
    key is bound to, or None if the store is unreachable.
    """

    def __init__(
        self,
        snapshot: Snapshot,
        steering: Steering,
        peers: PeerClient,
        table: OutcomeTable,
        claim: Claim,
    ) -> None:
        self._snapshot = snapshot
        self._steering = steering
        self._peers = peers
        self._table = table
        self._claim = claim
        self._tasks: dict[_RunningKey, Task[StoredAnswer]] = {}

    @property
    def running(self) -> int:
        """Return how many requests with a key are running here."""
        return len(self._tasks)

    async def run(self, request: SteeredRequest) -> StoredAnswer:
        """Run a request at the home of its key, or replay its answer.

        A request that is repeatable or has no key has no home and is
        only steered.

        :raises RequestError: with the outcome of the request.
        """
        if request.route.repeatable or not request.idempotency_key:
            return await self._steering.steer(request)
        token = parse_home_token(request.idempotency_key)
        if token is None:
            token = await self._claim_key(request)
        if token.incarnation != self._table.incarnation:
            return await self._forward(request, token)
        return await self.run_as_home(request, token)

    async def run_as_home(
        self, request: SteeredRequest, token: HomeToken
    ) -> StoredAnswer:
        """Run a request of a key that is bound to this incarnation.

        A retry joins the running request or gets the recorded answer.

        :raises RequestError: with the outcome of the request.
        """
        if token.incarnation != self._table.incarnation:
            raise OutcomeUnknown(
                f"the home entry of this key was restarted; {_OUTCOME_HINT}"
            )
        key = RequestKey(request.workspace, request.idempotency_key)
        running_key = _RunningKey(key, token)
        verdict = self._table.begin(
            key, token, request.fingerprint, read_monotonic()
        )
        match verdict:
            case Verdict.RUN:
                task = create_task(self._execute(request, running_key))
                self._tasks[running_key] = task
                task.add_done_callback(
                    lambda _: self._remove_task(running_key)
                )
                return await self._await_task(task, request)
            case Verdict.WAIT:
                task = self._tasks.get(running_key)
                if task is not None:
                    return await self._await_task(task, request)
            case Verdict.REPLAY:
                return self._table.find(key, token).answer
            case Verdict.FULL:
                raise OutcomeTableFull(
                    "the table of idempotency keys is full; try again in 2 s"
                )
            case Verdict.REUSED:
                raise IdempotencyKeyReused(
                    "this Idempotency-Key was used for another request; "
                    "use a new key"
                )
            case Verdict.NOT_ISSUED:
                raise RequestInvalid(
                    "the Idempotency-Key has a token with an epoch that was "
                    "never issued; use the token from a look-up"
                )
        raise OutcomeUnknown(
            f"the outcome of this key is unknown; {_OUTCOME_HINT}"
        )

    async def _execute(
        self, request: SteeredRequest, running_key: _RunningKey
    ) -> StoredAnswer:
        try:
            answer = await self._steering.steer(request)
        except RequestError as error:
            if error.outcome is Outcome.NOT_RUN:
                self._table.discard(running_key.key, running_key.token)
            else:
                self._table.lose(running_key.key, running_key.token)
            raise
        except BaseException:
            self._table.lose(running_key.key, running_key.token)
            raise
        self._table.finish(running_key.key, running_key.token, answer)
        return answer

    async def _await_task(
        self, task: Task[StoredAnswer], request: SteeredRequest
    ) -> StoredAnswer:
        remaining_s = max(0.001, request.deadline - read_monotonic())
        try:
            return await wait_for(shield(task), remaining_s)
        except TimeoutError:
            raise OutcomeUnknown(
                "the request is still running; retry with the same "
                "Idempotency-Key"
            ) from None
        except CancelledError:
            if task.cancelled():
                raise OutcomeUnknown(
                    f"the instance stopped; {_OUTCOME_HINT}"
                ) from None
            raise

    def _remove_task(self, running_key: _RunningKey) -> None:
        task = self._tasks.pop(running_key, None)
        if task is not None and not task.cancelled():
            # Marks the error as retrieved, so that asyncio does not log it
            # if no caller waits for the task any more.
            task.exception()

    async def _claim_key(self, request: SteeredRequest) -> HomeToken:
        own_token = str(self._table.issue_token(read_monotonic()))
        bound_token = await self._claim(
            request.workspace, request.idempotency_key, own_token
        )
        token = (
            parse_home_token(f"claim@{bound_token}") if bound_token else None
        )
        if token is None:
            raise ClaimUnavailable(
                "the key could not be claimed; get a token from a look-up "
                "and send the key as RANDOM@TOKEN, or try again in 2 s"
            )
        return token

    async def _forward(
        self, request: SteeredRequest, token: HomeToken
    ) -> StoredAnswer:
        peer = self._snapshot.find_peer(token.incarnation)
        if peer is None:
            raise OutcomeUnknown(
                f"no running entry is the home of this key; {_OUTCOME_HINT}"
            )
        address = peer.entry.peer_address
        try:
            return await self._peers.forward_home(address, request, str(token))
        except PeerUnreachable as error:
            raise OutcomeUnknown(
                f"the home entry of this key is unreachable; {_OUTCOME_HINT} "
                f"({error})"
            ) from None
