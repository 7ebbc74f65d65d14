"""An edge instance's replica of the store's records."""

from collections.abc import Callable

from gypsummount._common.logs import get_logger
from gypsummount._core.catalog import Catalog
from gypsummount._core.catalog import RolloutOrder
from gypsummount._core.catalog import UpstreamRecord
from gypsummount._core.freshness import FreshnessProof
from gypsummount._core.positions import get_era
from gypsummount._core.positions import get_revision
from gypsummount._core.registrations import RegistrationOrder
from gypsummount._core.restores import CatalogChoice
from gypsummount._edge.change_log import ChangeLog
from gypsummount._edge.change_log import RecordName
from gypsummount._edge.restores import Restores
from gypsummount._edge.store_feed import InstanceRecord
from gypsummount._edge.store_feed import Kind
from gypsummount._edge.store_feed import Listing
from gypsummount._edge.store_feed import Origin
from gypsummount._edge.store_feed import Record
from gypsummount._edge.store_feed import StoreFeed
from gypsummount.errors import RecordInvalid

REMOVAL_HOLD_S = 2.0
REQUIRED_KINDS = (Kind.CATALOG, Kind.UPSTREAM, Kind.EVACUATION, Kind.ROLLOUT)
# A record of these kinds that can't be decoded ends the one that it replaces;
# of others, the one before stays in force.
REPLACED_KINDS = (Kind.UPSTREAM, Kind.ROLLOUT)

_log = get_logger("belief")


class Replica:
    """The newest known records of each kind, decoded.

    Revisions are positions (:mod:`gypsummount._core.positions`), so that
    they also order the states before and after a restore of the store.

    Five attributes state how current it is:

    ``revisions``: by kind, the store revision up to which the records
    are complete.

    ``changed``: by kind, the store revision of the latest change to a
    record that is known, here or at a peer.

    ``catalog_revision``: the store revision of the configuration in use.

    ``sequence``: this instance's own number of the latest change to a
    record.  It numbers the changes in the order in which they were
    applied here, and peers use it as a cursor.

    ``changes``: how often the decoded values have changed, so that
    readers can tell when data derived from them is out of date.
    """

    def __init__(self, feed: StoreFeed, proof: FreshnessProof) -> None:
        self._feed = feed
        self._records: dict[Kind, dict[str, Record]] = {
            kind: {} for kind in Kind
        }
        self._removal_due_at: dict[str, float] = {}
        self._registration_order = RegistrationOrder()
        self.restores = Restores()
        self.proof = proof
        self.revisions: dict[Kind, int] = {}
        self.changed: dict[Kind, int] = {}
        self.catalog: Catalog | None = None
        self.catalog_revision = 0
        self.upstreams: dict[str, UpstreamRecord] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.rollouts: dict[str, RolloutOrder] = {}
        self.instances: dict[str, InstanceRecord] = {}
        self.changes = 0
        self._log = ChangeLog()
        self.store_recovered_at = float("-inf")

    def is_known(self, kind: Kind) -> bool:
        """Tell whether the records of a kind have been listed before."""
        return kind in self.revisions

    @property
    def has_newest_catalog(self) -> bool:
        """Tell whether the newest configuration could be decoded.

        If not, an older one stays in force, if there is one.
        """
        if self.is_catalog_withheld:
            return False
        records = self._records[Kind.CATALOG].values()
        newest = max((record.revision for record in records), default=0)
        return newest == self.catalog_revision

    @property
    def is_catalog_withheld(self) -> bool:
        """Tell whether one of an earlier era is in force.

        The store was restored and does not have the version in force.
        """
        changed = self.changed.get(Kind.CATALOG, 0)
        return self.catalog is not None and (
            get_era(changed) > get_era(self.catalog_revision)
        )

    @property
    def sequence(self) -> int:
        """Return the number of the latest change of a record."""
        return self._log.sequence

    @property
    def era(self) -> int:
        """Return the newest era of the store of which records are known."""
        return max(map(get_era, self.revisions.values()), default=0)

    @property
    def is_ready(self) -> bool:
        """Tell whether all records that steering needs are known."""
        return self.catalog is not None and all(
            kind in self.revisions for kind in REQUIRED_KINDS
        )

    def list_records(self, kind: Kind) -> list[Record]:
        """Return all records of a kind, in their encoded form."""
        return list(self._records[kind].values())

    def listen(self, listener: Callable[[], None]) -> None:
        """Register a listener to be called after every change of a record."""
        self._log.listen(listener)

    def find_record(self, name: RecordName) -> Record | None:
        """Return a record, or None if it is removed or unknown."""
        return self._records[name.kind].get(name.name)

    def list_changed_after(self, after: int) -> list[RecordName] | None:
        """Return the records changed after a sequence number, oldest first.

        Return None if the peer needs a complete copy instead.
        """
        return self._log.list_after(after)

    def record_latest_change(self, kind: Kind, revision: int) -> None:
        """Record that this instance or a peer knows of a change."""
        self.changed[kind] = max(self.changed.get(kind, 0), revision)

    def apply_listing(self, kind: Kind, listing: Listing, now: float) -> None:
        """Replace the records of a kind by a complete listing.

        An outdated listing is ignored.  The first one after a restore of
        the store tells what the restore lost.
        """
        known = self.revisions.get(kind, 0)
        if listing.revision < known:
            if self.restores.may_keep_catalog(kind, listing, known):
                for record in listing.records:
                    self._store_catalog(record, listing.origin)
            return
        if kind not in self.revisions:
            self.restores.begin_first(kind, listing, now)
        elif get_era(listing.revision) > get_era(known):
            self._begin_era(kind, listing, now)
        names = {record.name for record in listing.records}
        for name in list(self._records[kind]):
            if name not in names and not self.restores.is_kept(kind, name):
                self._remove_or_hold(kind, name, listing.revision, now)
        for record in listing.records:
            self._store_record(record, listing.origin, now)
        self.revisions[kind] = listing.revision

    def _begin_era(self, kind: Kind, listing: Listing, now: float) -> None:
        # Followers copy all records anew, as their own differ from these.
        self._log.discard()
        self.restores.begin(
            listing,
            self._records[kind],
            self._get_values(kind),
            self._feed.decode,
            kind,
            now,
        )
        if kind is Kind.UPSTREAM:
            self.record_store_recovery(now)

    def _get_values(self, kind: Kind) -> dict:
        """Return the values of a kind whose changes are compared."""
        if kind is Kind.UPSTREAM:
            return self.upstreams
        return self.rollouts if kind is Kind.ROLLOUT else {}

    def apply_changes(self, kind: Kind, listing: Listing, now: float) -> None:
        """Apply a listing that holds only changed and deleted records."""
        for record in listing.records:
            if record.is_deleted:
                self._remove_or_hold(kind, record.name, record.revision, now)
            else:
                self._store_record(record, listing.origin, now)
        known = self.revisions.get(kind, 0)
        self.revisions[kind] = max(known, listing.revision)

    def record_store_recovery(self, now: float) -> None:
        """Record that the store answers again after an outage.

        Live upstreams renew registrations that expired during the
        outage, so removals are delayed by :data:`REMOVAL_HOLD_S`.
        """
        self.store_recovered_at = now

    def remove_expired(self, now: float) -> None:
        """Remove the upstreams whose delayed removal is due at ``now``.

        They have not renewed their registration since the store recovered.
        After a restore, the holds that are due end as well.
        """
        for name in [
            name
            for name, due_at in self._removal_due_at.items()
            if due_at <= now
        ]:
            del self._removal_due_at[name]
            self._remove_now(Kind.UPSTREAM, name, now)
        for kind in (Kind.EVACUATION, Kind.ROLLOUT, Kind.INSTANCE):
            for name in self.restores.take_lost(kind, now):
                self._remove_now(kind, name, now)
            for name in self.restores.take_accepted(kind, now):
                self._use_record(self._records[kind][name], Origin.LIST)

    def _store_record(
        self, record: Record, origin: Origin, now: float
    ) -> None:
        if record.kind is Kind.CATALOG and self._store_catalog(record, origin):
            return
        known = self._records[record.kind].get(record.name)
        if known is None and self._was_removed(record, origin, now):
            return
        if known is not None and known.revision >= record.revision:
            if record.name in self._removal_due_at:
                del self._removal_due_at[record.name]
            return
        self._put_record(record)
        self._removal_due_at.pop(record.name, None)
        value = self._get_values(record.kind).get(record.name)
        if self.restores.admits(record, value, self._feed.decode, now):
            self._use_record(record, origin)

    def _put_record(self, record: Record) -> None:
        self._records[record.kind][record.name] = record
        self._log.record(record.kind, record.name)
        self.record_latest_change(record.kind, record.revision)

    def _use_record(self, record: Record, origin: Origin) -> None:
        try:
            value = self._feed.decode(record)
        except RecordInvalid as error:
            _log.warning(
                "Ignored %s '%s': %s", record.kind.value, record.name, error
            )
            if record.kind in REPLACED_KINDS:
                self._forget_value(record.kind, record.name)
                self.changes += 1
            return
        self._store_value(record, value, origin)
        self.changes += 1

    def _store_catalog(self, record: Record, origin: Origin) -> bool:
        """Store or skip a configuration of another era; tell if it is one."""
        choice = self.restores.judge_catalog(
            record,
            self._records[Kind.CATALOG].get(record.name),
            self.catalog,
            self.catalog_revision,
            self._feed.decode,
        )
        if choice is CatalogChoice.SAME_ERA:
            return False
        if choice is CatalogChoice.WITHHOLD:
            self.record_latest_change(Kind.CATALOG, record.revision)
        if choice is CatalogChoice.USE:
            if record.revision < self.catalog_revision:
                self.proof.withdraw(record.revision)
            self._put_record(record)
            self._use_record(record, origin)
        return True

    def _store_value(
        self, record: Record, value: object, origin: Origin
    ) -> None:
        if isinstance(value, Catalog):
            self.catalog = value
            self.catalog_revision = record.revision
            _log.info(
                "Applied configuration %s.",
                value.version,
                extra={
                    "object": record.name,
                    "revision": get_revision(record.revision),
                    "origin": origin.value,
                    "workspaces": len(value.workspaces),
                    "requires_keys": value.requires_keys,
                },
            )
        elif isinstance(value, UpstreamRecord):
            self._apply_upstream(value)
        elif isinstance(value, RolloutOrder):
            self.rollouts[value.service] = value
        elif isinstance(value, InstanceRecord):
            self.instances[record.name] = value
        else:
            # An evacuation has no value; its name is that of the domain.
            self.evacuated = self.evacuated | {record.name}

    def _was_removed(self, record: Record, origin: Origin, now: float) -> bool:
        """Tell whether a peer sent a record that has since been removed.

        The replica of a kind is complete up to its revision, so a
        record up to that revision that is missing here was removed.
        """
        complete_to = self.revisions.get(record.kind, -1)
        if origin is not Origin.COPY or record.revision > complete_to:
            return False
        return not self.restores.accept_kept(record, complete_to, now)

    def _apply_upstream(self, value: UpstreamRecord) -> None:
        known = self.upstreams.get(value.name)
        if known is not None and self._registration_order.is_outdated(
            value, known
        ):
            # ``sequence`` is the number of the upstream's heartbeat here.
            _log.info(
                "Ignored an outdated registration of upstream %s.",
                value.name,
                extra={"sequence": value.sequence, "known": known.sequence},
            )
            return
        self.upstreams[value.name] = value

    def _remove_or_hold(
        self, kind: Kind, name: str, revision: int, now: float
    ) -> None:
        known = self._records[kind].get(name)
        if known is None or known.revision > revision:
            return
        # A deleted configuration stays in force.
        if kind is Kind.CATALOG:
            return
        self.record_latest_change(kind, revision)
        must_hold = kind is Kind.UPSTREAM and (
            now < self.store_recovered_at + REMOVAL_HOLD_S
        )
        upstream = self.upstreams.get(name)
        if must_hold and upstream is not None and upstream.is_ready:
            due_at = self.store_recovered_at + REMOVAL_HOLD_S
            self._removal_due_at.setdefault(name, due_at)
            return
        self._remove_now(kind, name, now)

    def _remove_now(self, kind: Kind, name: str, now: float) -> None:
        value = self._get_values(kind).get(name)
        self.restores.record_removal(kind, name, value, now)
        self._records[kind].pop(name, None)
        self._log.record(kind, name)
        self._forget_value(kind, name)
        self.changes += 1

    def _forget_value(self, kind: Kind, name: str) -> None:
        if kind is Kind.UPSTREAM:
            self.upstreams.pop(name, None)
            self._registration_order.forget(name)
        elif kind is Kind.EVACUATION:
            self.evacuated = self.evacuated - {name}
        elif kind is Kind.ROLLOUT:
            self.rollouts.pop(name, None)
        elif kind is Kind.INSTANCE:
            self.instances.pop(name, None)
