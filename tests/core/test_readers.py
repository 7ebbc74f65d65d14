"""Choice of the instance that reads the store for a region."""

from gypsummount._core.readers import Candidate
from gypsummount._core.readers import choose_reader
from gypsummount._core.readers import Contact


class TestChoice:
    def test_first_able_instance_reads(self):
        candidates = [
            Candidate("n3", Contact.IDLE),
            Candidate("n2", Contact.CONNECTED),
            Candidate("n1", Contact.IDLE),
        ]
        assert choose_reader(candidates) == "n1"

    def test_instance_without_the_store_is_passed_over(self):
        candidates = [
            Candidate("n1", Contact.LOST),
            Candidate("n2", Contact.IDLE),
        ]
        assert choose_reader(candidates) == "n2"

    def test_nobody_is_chosen_while_all_have_lost_the_store(self):
        candidates = [Candidate(name, Contact.LOST) for name in "abc"]
        assert choose_reader(candidates) is None
