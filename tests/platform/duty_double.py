"""HTTP test double of the platform's endpoint for duties."""

from asyncio import sleep
from dataclasses import dataclass

from tornado.web import RequestHandler

from gypsummount._common.clocks import read_monotonic
from tests.platform.doubles import serve


@dataclass(slots=True, frozen=True)
class DutyCall:
    """A call that the endpoint executed or refused, and when."""

    holder: str
    token: int
    body: bytes
    at: float


class DutyDouble:
    """Executes calls whose fencing token is not below the highest seen.

    ``behaviour`` is ``good`` or names a fault.  ``down`` and
    ``overloaded``: answers 503 or 429 and executes nothing.  ``lost``:
    executes the call and closes the connection without a response.
    ``late``: the same, but executes it only ``delay_s`` later.
    """

    def __init__(self):
        self.behaviour = "good"
        self.delay_s = 0.0
        self.highest = 0
        self.executed = []
        self.refused = []

    def execute(self, call):
        """Execute a call, or tell that its token is too low."""
        if call.token < self.highest:
            self.refused.append(call)
            return False
        self.highest = call.token
        self.executed.append(call)
        return True

    def list_holders(self):
        """Return the holders in the order of their calls."""
        holders = []
        for call in self.executed:
            if not holders or holders[-1] != call.holder:
                holders.append(call.holder)
        return holders


class _DutyHandler(RequestHandler):
    def initialize(self, double):
        self.double = double

    async def post(self, duty):
        double = self.double
        headers = self.request.headers
        call = DutyCall(
            headers["Gypsummount-Duty-Holder"],
            int(headers["Gypsummount-Fencing-Token"]),
            self.request.body,
            read_monotonic(),
        )
        if double.behaviour in ("down", "overloaded"):
            is_down = double.behaviour == "down"
            self.set_status(503 if is_down else 429)
            self.set_header("Retry-After", "0.5")
            return
        if double.behaviour in ("lost", "late"):
            self.request.connection.stream.close()
            await sleep(double.delay_s if double.behaviour == "late" else 0)
            double.execute(call)
            return
        await sleep(double.delay_s)
        self.set_status(200 if double.execute(call) else 409)
        self.finish({})


def serve_duties(stack, double):
    return serve(stack, _DutyHandler, {"double": double}, [r"/([^/]+)"])
