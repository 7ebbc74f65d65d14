"""Selection of receivers in turn."""

from gypsummount._core.rotation import count_rounds
from gypsummount._core.rotation import Rotation


class TestTurns:
    def test_each_name_has_a_turn_in_the_counted_rounds(self):
        names = [f"n{number:02}" for number in range(50)]
        rotation = Rotation()
        rounds = count_rounds(len(names), 6)
        selected = [
            name for _ in range(rounds) for name in rotation.select(names, 6)
        ]
        assert set(selected) == set(names)

    def test_few_names_are_all_taken_each_time(self):
        rotation = Rotation()
        assert rotation.select(["b", "a"], 6) == ["a", "b"]
        assert rotation.select(["b", "a"], 6) == ["a", "b"]

    def test_removed_name_costs_no_other_its_turn(self):
        names = [f"n{number}" for number in range(8)]
        rotation = Rotation()
        first = rotation.select(names, 3)
        names.remove(first[-1])
        assert rotation.select(names, 3) == ["n3", "n4", "n5"]
