"""Settled rollout orders that a restore of the store may reopen.

A restore may lose the state with which an order was settled, or the whole
order, which its operator then writes again.  Such an order stays settled.
"""

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import replace

from gypsummount._core.catalog import RolloutOrder
from gypsummount._core.positions import get_era

# Time after a restore in which an order counts as written again.
REPEAT_S = 300.0
MAX_SETTLED = 2000


@dataclass(slots=True, frozen=True)
class _Attempt:
    service: str
    target: str


class OrderMemory:
    """The settled orders by service and target; the latest are kept."""

    __slots__ = ("_settled",)

    def __init__(self) -> None:
        self._settled: OrderedDict[_Attempt, RolloutOrder] = OrderedDict()

    def apply(
        self, order: RolloutOrder, since_restore_s: float
    ) -> RolloutOrder:
        """Return an order with the state that it had before a restore.

        ``since_restore_s`` is the time (s) since the present era began.
        """
        attempt = _Attempt(order.service, order.target)
        if order.is_settled:
            self._settled[attempt] = order
            self._settled.move_to_end(attempt)
            while len(self._settled) > MAX_SETTLED:
                self._settled.popitem(last=False)
            return order
        known = self._settled.get(attempt)
        if known is None or order.created == known.created:
            return order
        is_later = get_era(order.created) > get_era(known.created)
        if not is_later or since_restore_s > REPEAT_S:
            # The operator orders this target once more.
            del self._settled[attempt]
            return order
        return replace(
            order, state=known.state, state_version=known.state_version
        )


def is_repeated(order: RolloutOrder, known: RolloutOrder) -> bool:
    """Tell whether an order is a known one, perhaps after a restore."""
    if order.target != known.target:
        return False
    if order.created == known.created:
        return True
    return get_era(order.created) > get_era(known.created)
