"""Choice of the instance that reads the store for a region."""

from gypsummount._core.readers import choose_reader
from gypsummount._core.readers import Contact
from gypsummount._core.readers import ReaderCandidate


class TestChoice:
    def test_first_instance_that_can_reach_the_store_reads(self):
        candidates = [
            ReaderCandidate("n3", Contact.IDLE),
            ReaderCandidate("n2", Contact.CONNECTED),
            ReaderCandidate("n1", Contact.IDLE),
        ]
        assert choose_reader(candidates) == "n1"

    def test_instance_that_lost_the_store_is_skipped(self):
        candidates = [
            ReaderCandidate("n1", Contact.LOST),
            ReaderCandidate("n2", Contact.IDLE),
        ]
        assert choose_reader(candidates) == "n2"

    def test_none_is_chosen_while_all_have_lost_the_store(self):
        candidates = [ReaderCandidate(name, Contact.LOST) for name in "abc"]
        assert choose_reader(candidates) is None
