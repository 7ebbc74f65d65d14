"""Positions order the states of a restored store."""

import pytest

from gypsummount._core.positions import combine_position
from gypsummount._core.positions import get_era
from gypsummount._core.positions import get_revision
from gypsummount._core.positions import MAX_ERA
from gypsummount._core.positions import MAX_REVISION


class TestPositions:
    @pytest.mark.parametrize("era", [0, 1, 7, MAX_ERA])
    @pytest.mark.parametrize("revision", [0, 1, MAX_REVISION])
    def test_parts_are_found_again(self, era, revision):
        position = combine_position(era, revision)
        assert get_era(position) == era
        assert get_revision(position) == revision

    def test_later_era_comes_after_any_revision(self):
        """Guards against peers that prefer a view from before a restore."""
        assert combine_position(2, 0) > combine_position(1, MAX_REVISION)

    def test_position_without_an_era_is_the_revision(self):
        assert combine_position(0, 12345) == 12345

    def test_positions_are_exact_in_json_of_other_programs(self):
        assert combine_position(MAX_ERA, MAX_REVISION) < 1 << 53

    @pytest.mark.parametrize(
        ("era", "revision"),
        [(MAX_ERA + 1, 1), (-1, 1), (1, MAX_REVISION + 1), (1, -1)],
    )
    def test_numbers_out_of_range_are_refused(self, era, revision):
        with pytest.raises(ValueError, match="is not between"):
            combine_position(era, revision)
