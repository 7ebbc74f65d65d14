"""Limits of clients from the environment."""

import pytest

from gypsummount._common.client_limits import ClientLimits
from gypsummount.errors import SettingError
from gypsummount.platform.client_limits import PREFIX
from gypsummount.platform.client_limits import read_client_limits


class TestClientLimits:
    def test_defaults(self):
        assert read_client_limits() == ClientLimits()

    def test_values_are_read(self, monkeypatch):
        monkeypatch.setenv(f"{PREFIX}FIELDS", "100")
        monkeypatch.setenv(f"{PREFIX}HEAD_S", "2.5")
        monkeypatch.setenv(f"{PREFIX}BYTES_PER_S", "10")
        limits = read_client_limits()
        assert (limits.fields, limits.head_s) == (100, 2.5)
        assert limits.bytes_per_s == 10

    @pytest.mark.parametrize("text", ["x", "-1", "nan", "1e9", "7", "8.5"])
    @pytest.mark.parametrize("name", ["FIELDS"])
    def test_invalid_values_are_refused(self, monkeypatch, name, text):
        """Guards against limits that end ordinary clients' connections."""
        monkeypatch.setenv(PREFIX + name, text)
        with pytest.raises(SettingError, match=name):
            read_client_limits()
