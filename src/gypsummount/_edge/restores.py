"""Restores of the store, as the replica of an instance handles them.

The first listing of a new era tells what a restore lost and what it brought
back.  The records follow the store, except that lost ones stay for a while;
which values are decoded and used is decided here.
"""

from collections.abc import Callable

from gypsummount._common.logs import get_logger
from gypsummount._core.catalog import Catalog
from gypsummount._core.catalog import RolloutOrder
from gypsummount._core.catalog import UpstreamRecord
from gypsummount._core.positions import get_era
from gypsummount._core.positions import get_revision
from gypsummount._core.restores import CatalogChoice
from gypsummount._core.restores import choose_catalog
from gypsummount._core.restores import is_older_registration
from gypsummount._core.restores import is_repeated_registration
from gypsummount._core.restores import RestoreHolds
from gypsummount._edge.store_feed import Kind
from gypsummount._edge.store_feed import Listing
from gypsummount._edge.store_feed import Record
from gypsummount._edge.store_feed import Value
from gypsummount.errors import RecordInvalid

# Kinds of which a lost record stays for the hold.  Upstreams have a shorter
# hold of their own, and the configuration is decided by its version.
KEPT_KINDS = (Kind.EVACUATION, Kind.ROLLOUT, Kind.INSTANCE)

Decoder = Callable[[Record], Value]
Comparison = Callable[[UpstreamRecord, UpstreamRecord], bool]

_log = get_logger("restores")


class Restores:
    """Decides which records of a restored store are used.

    ``count`` is the number of restores that this instance has seen.
    """

    def __init__(self) -> None:
        self._holds = {kind: RestoreHolds() for kind in Kind}
        self._era = 0
        self._withheld_catalog = 0
        self.count = 0

    def get_began_at(self, kind: Kind) -> float:
        """Return when the present era of a kind began here (s)."""
        return self._holds[kind].began_at

    def count_kept(self) -> int:
        """Return how many lost records are still kept."""
        return sum(len(holds.kept) for holds in self._holds.values())

    def count_withheld(self) -> int:
        """Return how many records that are back are ignored."""
        return sum(len(holds.withheld) for holds in self._holds.values())

    def begin(
        self,
        listing: Listing,
        known: dict[str, Record],
        values: dict[str, Value],
        decode: Decoder,
        kind: Kind,
        now: float,
    ) -> None:
        """Handle the first listing of a kind in a new era.

        ``known`` holds the records of the last era, and ``values`` their
        decoded values.
        """
        era = get_era(listing.revision)
        if era > self._era:
            self._era = era
            self.count += 1
        holds = self._holds[kind]
        # A record that was ignored counts as unknown in the next restore too.
        used = {
            name: record
            for name, record in known.items()
            if name not in holds.withheld
        }
        holds.begin(now)
        listed = {record.name: record for record in listing.records}
        if kind in KEPT_KINDS:
            for name in known:
                record = listed.get(name)
                # A peer's listing has the records that the peer keeps.
                if record is None or get_era(record.revision) < era:
                    holds.keep(name)
        for record in listing.records:
            if get_era(record.revision) == era:
                self._judge_listed(
                    record,
                    used.get(record.name),
                    values.get(record.name),
                    decode,
                    now,
                )
        _log.info(
            "The store was restored; the first listing of %s is applied.",
            kind.value,
            extra={
                "era": era,
                "revision": get_revision(listing.revision),
                "listed": len(listed),
                "known": len(known),
                "missing": sorted(known.keys() - listed.keys())[:8],
                "kept": len(holds.kept),
                "withheld": sorted(holds.withheld)[:8],
            },
        )

    def _judge_listed(
        self,
        record: Record,
        known: Record | None,
        value: Value,
        decode: Decoder,
        now: float,
    ) -> None:
        """Withhold a listed record if it is back only by the restore.

        ``known`` is the record that was in use, and ``value`` the value
        that is.
        """
        holds = self._holds[record.kind]
        removal = None
        if known is None:
            removal = holds.find_removal(record.name, now)
        is_back = removal is not None
        is_timed = record.kind is not Kind.UPSTREAM
        if record.kind is Kind.ROLLOUT:
            is_back |= _is_earlier_order(record, known, value, decode)
        elif record.kind is Kind.UPSTREAM:
            last = removal.value if removal is not None else value
            is_draining = isinstance(value, UpstreamRecord) and (
                not value.is_ready
            )
            is_back = (is_back or is_draining) and _compare(
                record, last, decode, is_older_registration
            )
        elif record.kind is not Kind.EVACUATION:
            return
        if is_back:
            holds.withhold(record.name, record.revision, is_timed=is_timed)

    def admits(
        self, record: Record, value: Value, decode: Decoder, now: float
    ) -> bool:
        """Tell whether the value of a record that was stored is used.

        ``value`` is the value in use, if any.  A change in the new era ends
        the holds of a record, but an upstream has to show a later
        heartbeat.
        """
        holds = self._holds[record.kind]
        withheld = holds.withheld.get(record.name)
        if withheld is None:
            # A record of an earlier era is one that a peer keeps.
            if get_era(record.revision) >= self._era:
                holds.forget(record.name)
            return True
        if record.revision <= withheld.position:
            return False
        if record.kind is Kind.UPSTREAM:
            removal = holds.find_removal(record.name, now)
            last = value or (removal.value if removal is not None else None)
            if _compare(record, last, decode, is_repeated_registration):
                holds.withhold(record.name, record.revision, is_timed=False)
                return False
        holds.forget(record.name)
        return True

    def may_keep_catalog(
        self, kind: Kind, listing: Listing, position: int
    ) -> bool:
        """Tell whether an outdated listing may hold a lost configuration.

        A peer that is a little behind in the same era may keep one that
        this instance has not known.
        """
        is_same_era = get_era(listing.revision) == get_era(position)
        return kind is Kind.CATALOG and is_same_era

    def judge_catalog(
        self,
        record: Record,
        known: Record | None,
        catalog: Catalog | None,
        position: int,
        decode: Decoder,
    ) -> CatalogChoice:
        """Tell what to do with a record of the configuration.

        ``known`` is its known record, and ``position`` that of the
        configuration in force.
        """
        if catalog is None or get_era(record.revision) == get_era(position):
            return CatalogChoice.SAME_ERA
        is_later = record.revision > position
        if is_later and known and known.revision >= record.revision:
            return CatalogChoice.IGNORE
        try:
            version = decode(record).version
        except RecordInvalid:
            # One of a later era is stored like any that is unreadable.
            return CatalogChoice.USE if is_later else CatalogChoice.IGNORE
        choice = choose_catalog(version, catalog.version, is_later=is_later)
        if choice is CatalogChoice.WITHHOLD:
            self._log_withheld_catalog(record, version)
        return choice

    def _log_withheld_catalog(self, record: Record, version: int) -> None:
        """Log once that a listed configuration is not applied."""
        if record.revision == self._withheld_catalog:
            return
        self._withheld_catalog = record.revision
        _log.warning(
            "Configuration %s of the restored store is older than the one in "
            "force, which stays.",
            version,
            extra={
                "era": get_era(record.revision),
                "revision": get_revision(record.revision),
            },
        )

    def is_kept(self, kind: Kind, name: str) -> bool:
        """Tell whether a lost record is kept for now."""
        return name in self._holds[kind].kept

    def accept_kept(self, record: Record, position: int, now: float) -> bool:
        """Tell whether to take a record that a peer keeps, and keep it.

        ``position`` is that of the kind's records here.  This instance has
        not known the record, for instance because it has just started.
        """
        holds = self._holds[record.kind]
        if record.kind not in KEPT_KINDS or not holds.is_holding(now):
            return False
        if get_era(record.revision) >= get_era(position):
            return False
        if holds.find_removal(record.name, now) is not None:
            return False
        holds.keep(record.name)
        return True

    def begin_first(self, kind: Kind, listing: Listing, now: float) -> None:
        """Handle the first listing of a kind since the start.

        A peer's listing may have records that the peer keeps.
        """
        holds = self._holds[kind]
        holds.begin(now)
        self._era = max(self._era, get_era(listing.revision))
        if kind in KEPT_KINDS:
            for record in listing.records:
                if get_era(record.revision) < get_era(listing.revision):
                    holds.keep(record.name)

    def record_removal(
        self, kind: Kind, name: str, value: Value, now: float
    ) -> None:
        """Remember the removal of a record, in case a restore undoes it."""
        self._holds[kind].record_removal(name, value, now)

    def take_lost(self, kind: Kind, now: float) -> list[str]:
        """Return the kept records of a kind whose removal is due."""
        names = self._holds[kind].take_lost(now)
        if names:
            _log.info(
                "Records of kind %s that the restore lost are removed.",
                kind.value,
                extra={"names": sorted(names)[:8], "count": len(names)},
            )
        return names

    def take_accepted(self, kind: Kind, now: float) -> list[str]:
        """Return the withheld records of a kind that are now accepted."""
        names = self._holds[kind].take_accepted(now)
        if names:
            _log.info(
                "Records of kind %s that the restore brought back are used.",
                kind.value,
                extra={"names": sorted(names)[:8], "count": len(names)},
            )
        return names


def _compare(
    record: Record, last: object, decode: Decoder, is_older: Comparison
) -> bool:
    """Tell whether a registration is older than the last known one."""
    if not isinstance(last, UpstreamRecord):
        return False
    try:
        value = decode(record)
    except RecordInvalid:
        return False
    return isinstance(value, UpstreamRecord) and is_older(value, last)


def _is_earlier_order(
    record: Record, known: Record | None, value: Value, decode: Decoder
) -> bool:
    """Tell whether a listed order is one that a later order replaced."""
    if not isinstance(value, RolloutOrder):
        return False
    if known is not None and (
        get_revision(record.revision) >= get_revision(known.revision)
    ):
        return False
    try:
        listed = decode(record)
    except RecordInvalid:
        return True
    return isinstance(listed, RolloutOrder) and listed.target != value.target
