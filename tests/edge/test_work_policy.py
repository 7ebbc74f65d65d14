"""The two selection policies side by side under the same loads."""

import logging

import pytest

from gypsummount._edge.work_policy import EARLY_FRACTION
from tests.edge import peak_load
from tests.edge.peak_load import create_upstreams
from tests.edge.peak_load import Stream
from tests.edge.peak_load import total

# Requests per second that eight upstreams of four slots serve when most
# objects are known.
CAPACITY = 300.0
DURATION_S = 11.0
PEAK_START_S = 6.0
PEAK_END_S = 9.0
SEEDS = (1, 2)


def keep(rate):
    return lambda at: rate


def rise(usual, peak):
    """Return a rate that rises for three seconds."""
    return lambda at: peak if PEAK_START_S < at < PEAK_END_S else usual


def surge(usual, rate):
    """Return a rate that stays high from the fifth second on."""
    return lambda at: rate if at > 5 else usual


def play_both(streams, *, instances, upstreams=None, seeds=SEEDS):
    """Return the scores under the existing policy and under the new one."""
    logging.disable(logging.INFO)
    try:
        results = []
        for with_speed in (False, True):
            merged = {}
            for seed in seeds:
                scores = peak_load.play(
                    streams,
                    DURATION_S,
                    with_speed=with_speed,
                    upstreams=upstreams,
                    instances=instances,
                    seed=seed,
                )
                for key, score in scores.items():
                    merged.setdefault(key, []).append(score)
            results.append(
                {
                    key: total(dict(enumerate(scores)))
                    for key, scores in merged.items()
                }
            )
        return results
    finally:
        logging.disable(logging.NOTSET)


def get_share(score):
    return score.on_time / score.callers


def check_better(old, new):
    """Check that more callers are served on time, and report both."""
    old_share = get_share(total(old))
    new_share = get_share(total(new))
    print(f"on time: {old_share:.3f} before, {new_share:.3f} now")
    assert new_share > old_share


def get_quantile(values, fraction):
    return sorted(values)[int(len(values) * fraction)]


class TestShortPeak:
    """Load: twice the capacity for three seconds, 12 instances."""

    STREAMS = [Stream("w", rise(140.0, 400.0))]

    def test_more_are_on_time_and_refusals_come_early(self):
        """Guards against queues that use capacity for late requests."""
        old, new = play_both(self.STREAMS, instances=12)
        check_better(old, new)
        held = get_quantile(total(new).held_s, 0.5)
        assert held <= 1.1 * EARLY_FRACTION
        assert held < get_quantile(total(old).held_s, 0.5)
        late = total(new).late
        assert 0 < late < total(old).late

    def test_load_within_capacity_is_served_as_well(self):
        """Guards against refusals while there is room."""
        _, new = play_both([Stream("w", keep(140.0))], instances=3)
        score = total(new)
        assert get_share(score) > 0.97
        assert score.refused == 0


class TestWorkspaceSurge:
    """Load: one of five workspaces at five times its usual demand."""

    STREAMS = [
        Stream("w0", surge(40.0, 200.0)),
        *[Stream(f"w{number}", keep(40.0)) for number in range(1, 5)],
    ]

    @pytest.mark.parametrize("instances", [1, 12])
    def test_others_are_not_crowded_out(self, instances):
        """Guards against one workspace that takes the others' capacity."""
        old, new = play_both(self.STREAMS, instances=instances)
        for number in range(1, 5):
            key = (f"w{number}", "r")
            assert get_share(new[key]) > get_share(old[key]) + 0.05
            assert get_share(new[key]) > get_share(new["w0", "r"])
        # The surging workspace still gets its fair share.
        assert get_share(new["w0", "r"]) > 0.5
        if instances > 1:
            check_better(old, new)


class TestPriorities:
    """Load: three workspace priorities, twice the capacity for 3 s."""

    STREAMS = [
        Stream("high", rise(30.0, 80.0), priority=0),
        Stream("middle", rise(55.0, 160.0), priority=1),
        Stream("low", rise(55.0, 160.0), priority=2),
    ]

    def test_higher_priorities_are_served_better(self):
        """Guards against an order by arrival, and against starvation.

        One instance has all waiting requests in its queue.
        """
        old, new = play_both(self.STREAMS, instances=1)
        shares = [
            get_share(new[name, "r"]) for name in ("high", "middle", "low")
        ]
        assert shares == sorted(shares, reverse=True)
        assert shares[0] > 0.99
        assert shares[2] > 0.3

    def test_many_instances_serve_every_priority_better(self):
        old, new = play_both(self.STREAMS, instances=12)
        check_better(old, new)
        for key in new:
            assert get_share(new[key]) > get_share(old[key])


class TestUploads:
    """Load: uploads of another service spill over from the fifth second.

    They take four times as long as the other requests.
    """

    STREAMS = [
        Stream("w", keep(150.0)),
        Stream(
            "w",
            surge(1.0, 30.0),
            work_s=1.2,
            objective_s=2.0,
            route="upload",
            objects=40,
            patience_s=5.0,
            body_class=4,
        ),
    ]

    @pytest.mark.parametrize("instances", [1, 12])
    def test_neither_route_is_starved(self, instances):
        """Guards against long requests that starve the short ones."""
        old, new = play_both(self.STREAMS, instances=instances)
        check_better(old, new)
        assert get_share(new["w", "r"]) > get_share(old["w", "r"])
        uploads = new["w", "upload"]
        assert get_share(uploads) > 0.5


class TestObjectsThatMustBeKnown:
    """Load: 880 ms (264 ms where the object is known), objective 586 ms."""

    STREAMS = [
        Stream("w", keep(60.0), work_s=0.88, objective_s=0.586, patience_s=2.5)
    ]

    def test_requests_go_where_objects_are_known(self):
        """Guards against objects that stay unknown under load."""
        old, new = play_both(self.STREAMS, instances=12)
        check_better(old, new)
        assert get_share(total(new)) > 2 * get_share(total(old))


class TestSlowUpstream:
    """Load: one of eight machines takes four times as long."""

    def create(self, random):
        upstreams = create_upstreams(random)
        upstreams[0].read_speed = lambda now: 400
        return upstreams

    @pytest.mark.parametrize("instances", [1, 12])
    def test_slow_upstream_gets_less(self, instances):
        """Guards against a machine whose share of requests all come late."""
        old, new = play_both(
            [Stream("w", keep(170.0))],
            instances=instances,
            upstreams=self.create,
        )
        check_better(old, new)

    def test_recovered_upstream_gets_more_again(self):
        """Guards against a machine that is avoided for ever."""
        made = []

        def create(random):
            made[:] = self.create(random)
            made[0].read_speed = lambda now: 400 if now < 1005 else 100
            return made

        play_both([Stream("w", keep(170.0))], instances=3, upstreams=create)
        served = [upstream.served for upstream in made]
        assert served[0] > 0.3 * sum(served) / len(served)


class TestReturningCallers:
    """Load: callers that come back for 3 s after refusals in a peak."""

    STREAMS = [Stream("w", rise(140.0, 400.0), patience_s=3.0)]

    def test_more_are_on_time_with_fewer_attempts(self):
        """Guards against callers that return before there is capacity."""
        old, new = play_both(self.STREAMS, instances=12)
        check_better(old, new)
        assert total(new).attempts < total(old).attempts
