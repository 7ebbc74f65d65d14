"""Order of the registrations of upstreams.

A delayed heartbeat may replace a later one in the store.  It is
recognised by the start time of the upstream and by the sequence number
of the heartbeat.
"""

from gypsummount._core.catalog import UpstreamRecord


class RegistrationOrder:
    """Detects registrations of upstreams that are out of date.

    A clock may have been set back between two starts of an upstream.
    Therefore a start that seems to be earlier is accepted with its second
    heartbeat: a process that has ended sends no further heartbeats.
    """

    def __init__(self) -> None:
        self._earlier_starts: dict[str, UpstreamRecord] = {}

    def is_outdated(
        self, record: UpstreamRecord, known: UpstreamRecord
    ) -> bool:
        """Tell whether a received record is older than the known one.

        Records without a start time are never outdated.
        """
        if not record.started_ms or not known.started_ms:
            return False
        if record.started_ms == known.started_ms:
            return record.sequence < known.sequence
        if record.started_ms > known.started_ms:
            self._earlier_starts.pop(record.name, None)
            return False
        previous = self._earlier_starts.get(record.name)
        self._earlier_starts[record.name] = record
        return not _is_later_heartbeat(record, previous)

    def forget(self, name: str) -> None:
        """Drop the state of a removed upstream."""
        self._earlier_starts.pop(name, None)


def _is_later_heartbeat(
    record: UpstreamRecord, previous: UpstreamRecord | None
) -> bool:
    """Tell whether a record is a later heartbeat of the same start."""
    if previous is None or record.started_ms != previous.started_ms:
        return False
    return record.sequence > previous.sequence
