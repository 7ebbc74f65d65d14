"""Order of the registrations of upstreams.

A heartbeat that was long on its way may replace a later one in the
store.  The start of the upstream and its count of heartbeats tell.
"""

from gypsummount._core.catalog import UpstreamRecord


class RegistrationOrder:
    """Tells which registrations of an upstream are out of date.

    Clocks may have been set back between two starts, so a start that
    seems earlier is believed once it has sent a second heartbeat: one
    that is over sends no more.
    """

    def __init__(self) -> None:
        self._earlier: dict[str, UpstreamRecord] = {}

    def is_outdated(
        self, record: UpstreamRecord, known: UpstreamRecord
    ) -> bool:
        """Tell whether a record that came now was sent before another."""
        if not record.started_ms or not known.started_ms:
            return False
        if record.started_ms == known.started_ms:
            return record.sequence < known.sequence
        if record.started_ms > known.started_ms:
            self._earlier.pop(record.name, None)
            return False
        before = self._earlier.get(record.name)
        self._earlier[record.name] = record
        return not _follows(record, before)

    def forget(self, name: str) -> None:
        """Forget an upstream that was removed."""
        self._earlier.pop(name, None)


def _follows(record: UpstreamRecord, before: UpstreamRecord | None) -> bool:
    """Tell whether a record is a later heartbeat of the same start."""
    if before is None or record.started_ms != before.started_ms:
        return False
    return record.sequence > before.sequence
