"""Registration of this instance in the store, also after a restore."""

from asyncio import sleep
from random import Random

from gypsummount._common.logs import get_logger
from gypsummount._core.positions import get_era
from gypsummount._edge.change_log import RecordName
from gypsummount._edge.replica import Replica
from gypsummount._edge.store_feed import InstanceRecord
from gypsummount._edge.store_feed import Kind
from gypsummount._edge.store_feed import StoreFeed
from gypsummount.errors import StoreError

REGISTER_RETRY_S = 1.0
CHECK_INTERVAL_S = 1.0
# After a restore, the instances of a fleet write within this time.
MAX_SPREAD_S = 2.0

_log = get_logger("process")


class Registration:
    """Keeps the record of this instance in the store.

    It is written at the start, and again when a restored store lacks it.
    """

    def __init__(
        self,
        feed: StoreFeed,
        replica: Replica,
        record: InstanceRecord,
        random: Random,
    ) -> None:
        self._feed = feed
        self._replica = replica
        self._record = record
        self._random = random
        self._era = 0

    async def run(self) -> None:
        """Register, and register again after restores, until cancelled."""
        await self._register()
        while True:
            await sleep(CHECK_INTERVAL_S)
            if not self.is_lost():
                continue
            await sleep(self._random.uniform(0.0, MAX_SPREAD_S))
            # Another process may have written it meanwhile.
            if self.is_lost():
                _log.info("The restored store lacks this instance.")
                await self._register()

    def is_lost(self) -> bool:
        """Tell whether the store was restored and lacks the record."""
        if not self._replica.is_known(Kind.INSTANCE):
            return False
        era = get_era(self._replica.revisions[Kind.INSTANCE])
        if era <= self._era:
            return False
        name = RecordName(Kind.INSTANCE, self._record.name)
        record = self._replica.find_record(name)
        value = self._replica.instances.get(self._record.name)
        if record is None or get_era(record.revision) < era:
            return True
        if value != self._record:
            return True
        self._era = era
        return False

    async def _register(self) -> None:
        while True:
            try:
                await self._feed.register(self._record)
            except StoreError as error:
                _log.warning("Not registered yet; retrying: %s", error)
                await sleep(REGISTER_RETRY_S)
                continue
            self._era = max(self._era, self._feed.era)
            return
