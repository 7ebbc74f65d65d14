"""Sending of this instance's usage counts until they are acknowledged."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from gypsummount._core.usage import UsageCounts
from gypsummount._core.usage_collection import SourceId
from gypsummount._edge.duties import Duties
from gypsummount._edge.duties import DutyPeer
from gypsummount._edge.usage_messages import AckMessage
from gypsummount._edge.usage_messages import CountsMessage
from gypsummount._edge.usage_messages import encode_counts
from gypsummount._edge.usage_messages import UsageNews

DUTY = "usage"

Sender = Callable[[bytes, str], None]
# Keeps a part of this instance's own counts.
LocalReceiver = Callable[[CountsMessage], None]


@dataclass(slots=True)
class _Receiver:
    """Who gets the counts, and the sequences that it acknowledged.

    ``incarnation`` is that of the last acknowledgement, 0 before it.
    """

    peer: DutyPeer
    incarnation: int = 0
    acked: dict[tuple[int, int], int] = field(default_factory=dict)


class UsageSender:
    """Sends changed counts to the holder and to the first candidate."""

    def __init__(
        self,
        own: SourceId,
        counts: UsageCounts,
        duties: Duties,
        send: Sender,
        receive_here: LocalReceiver,
    ) -> None:
        self._own = own
        self._counts = counts
        self._duties = duties
        self._send = send
        self._receive_here = receive_here
        self._receivers: dict[str, _Receiver] = {}

    def send_changes(self, news: UsageNews, at: float) -> None:
        """Send every part that a receiver has not acknowledged."""
        self._update_receivers()
        for receiver in self._receivers.values():
            for key, sequence in self._list_open(receiver):
                part = self._counts.get_part(*key, at)
                message = CountsMessage(news, part)
                if receiver.peer.name == self._own.name:
                    self._receive_here(message)
                    receiver.acked[key] = sequence
                else:
                    self._send(encode_counts(message), receiver.peer.host)

    def receive_ack(self, ack: AckMessage) -> None:
        """Record that a receiver has a part.

        A receiver that has restarted has no counts, so it gets all again.
        """
        source = ack.news.source
        receiver = self._receivers.get(source.name)
        if receiver is None or source.incarnation < receiver.incarnation:
            return
        if source.incarnation > receiver.incarnation:
            if receiver.incarnation:
                receiver.acked.clear()
            receiver.incarnation = source.incarnation
        key = (ack.window, ack.part)
        receiver.acked[key] = max(receiver.acked.get(key, 0), ack.sequence)

    def is_acknowledged(self) -> bool:
        """Tell whether the holder has all counts of this instance."""
        holder = self._duties.get_holder(DUTY)
        if holder is None or holder.name not in self._receivers:
            return False
        return not self._list_open(self._receivers[holder.name])

    def _list_open(
        self, receiver: _Receiver
    ) -> list[tuple[tuple[int, int], int]]:
        return [
            ((window, part), sequence)
            for window in self._counts.list_windows()
            for part, sequence in enumerate(
                self._counts.list_sequences(window)
            )
            if receiver.acked.get((window, part), 0) < sequence
        ]

    def _update_receivers(self) -> None:
        """Keep the current receivers; a new one gets all counts."""
        peers = (
            self._duties.get_first_candidate(DUTY),
            self._duties.get_holder(DUTY),
        )
        current = {peer.name: peer for peer in peers if peer is not None}
        for name in [old for old in self._receivers if old not in current]:
            del self._receivers[name]
        windows = set(self._counts.list_windows())
        for name, peer in current.items():
            known = self._receivers.get(name)
            if known is None:
                self._receivers[name] = _Receiver(peer)
                continue
            known.peer = peer
            for key in [key for key in known.acked if key[0] not in windows]:
                del known.acked[key]
