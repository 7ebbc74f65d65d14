"""What an instance keeps, ignores and compares after a restore."""

from math import inf

import pytest

from gypsummount._core.catalog import UpstreamRecord
from gypsummount._core.restores import CatalogChoice
from gypsummount._core.restores import choose_catalog
from gypsummount._core.restores import is_older_registration
from gypsummount._core.restores import is_repeated_registration
from gypsummount._core.restores import MAX_REMOVALS
from gypsummount._core.restores import REMOVAL_MEMORY_S
from gypsummount._core.restores import RESTORE_HOLD_S
from gypsummount._core.restores import RestoreHolds

NOW = 100.0


def build_upstream(started_ms, sequence):
    return UpstreamRecord(
        "u", "s", "10.0.0.1:80", "z", "v", 2, True, 0.0, started_ms, sequence
    )


class TestHolds:
    @pytest.fixture
    def holds(self):
        created = RestoreHolds()
        created.begin(NOW)
        return created

    def test_lost_record_is_kept_for_the_hold(self, holds):
        holds.keep("a")
        assert holds.take_lost(NOW + RESTORE_HOLD_S - 0.1) == []
        assert holds.take_lost(NOW + RESTORE_HOLD_S) == ["a"]
        assert holds.take_lost(inf) == []

    def test_record_that_is_back_is_accepted_after_the_hold(self, holds):
        holds.withhold("a", 7, is_timed=True)
        holds.withhold("b", 8, is_timed=False)
        assert holds.take_accepted(NOW + RESTORE_HOLD_S) == ["a"]
        assert "b" in holds.withheld

    def test_change_ends_the_holds(self, holds):
        holds.keep("a")
        holds.withhold("b", 7, is_timed=True)
        holds.forget("a")
        holds.forget("b")
        assert not holds.kept
        assert not holds.withheld

    def test_next_restore_ends_the_holds_of_the_last(self, holds):
        holds.keep("a")
        holds.begin(NOW + 1.0)
        assert not holds.kept
        assert holds.is_holding(NOW + RESTORE_HOLD_S + 0.5)

    def test_old_removal_is_forgotten(self, holds):
        holds.record_removal("a", None, NOW)
        assert holds.find_removal("a", NOW + REMOVAL_MEMORY_S - 1) is not None
        assert holds.find_removal("a", NOW + REMOVAL_MEMORY_S + 1) is None

    def test_removals_take_bounded_memory(self, holds):
        """Guards against growth by upstreams that come and go."""
        for number in range(MAX_REMOVALS + 10):
            holds.record_removal(str(number), None, NOW)
        assert holds.find_removal("9", NOW) is None
        assert holds.find_removal("10", NOW) is not None


class TestRegistrations:
    @pytest.mark.parametrize(
        ("started_ms", "sequence", "is_older"),
        [
            (5000, 9, True),
            (5000, 10, True),
            (5000, 11, False),
            (4000, 50, True),
            (6000, 0, False),
            (0, 10, True),
            (0, 11, False),
        ],
    )
    def test_restored_registration(self, started_ms, sequence, is_older):
        known = build_upstream(5000, 10)
        record = build_upstream(started_ms, sequence)
        assert is_older_registration(record, known) is is_older

    def test_restarted_upstream_is_no_repetition(self):
        """Guards against upstreams that stay ignored after a restart."""
        known = build_upstream(5000, 10)
        assert is_repeated_registration(build_upstream(5000, 10), known)
        assert not is_repeated_registration(build_upstream(5000, 11), known)
        assert not is_repeated_registration(build_upstream(4000, 1), known)
        assert not is_repeated_registration(
            build_upstream(0, 1), build_upstream(0, 10)
        )


class TestCatalogs:
    @pytest.mark.parametrize(
        ("version", "is_later", "choice"),
        [
            (6, True, CatalogChoice.WITHHOLD),
            (7, True, CatalogChoice.USE),
            (8, True, CatalogChoice.USE),
            (6, False, CatalogChoice.IGNORE),
            (7, False, CatalogChoice.IGNORE),
            (8, False, CatalogChoice.USE),
        ],
    )
    def test_higher_version_is_in_force(self, version, is_later, choice):
        assert choose_catalog(version, 7, is_later=is_later) is choice
