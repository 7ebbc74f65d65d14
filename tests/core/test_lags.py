"""Lag of an instance behind others under a stream of changes."""

from gypsummount._core.lags import Lag

STEP_S = 0.1


class TestLag:
    def test_lag_grows_under_a_stream_of_changes(self):
        """Guards against instances that never catch up.

        Under a stream of changes the others are always ahead.  A target
        that moves along with them would hide the lag.
        """
        lag = Lag()
        lags = [
            lag.measure(10, 20 + number, number * STEP_S)
            for number in range(20)
        ]
        assert lags[-1] > 1.8

    def test_lag_ends_when_its_target_is_reached(self):
        lag = Lag()
        lag.measure(10, 20, 0.0)
        assert lag.measure(10, 20, 1.0) == 1.0
        assert lag.measure(20, 25, 1.1) == 0.0
        assert lag.measure(20, 25, 1.3) > 0.1

    def test_instance_that_is_not_behind_has_no_lag(self):
        lag = Lag()
        assert lag.measure(20, 20, 0.0) == 0.0
        assert lag.measure(20, 20, 5.0) == 0.0
        assert lag.measure(20, 21, 9.0) == 0.0
