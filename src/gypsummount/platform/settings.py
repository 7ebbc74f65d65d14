"""Decoding of the platform's settings file and environment variables."""

from dataclasses import dataclass
from json import loads
from math import inf
from os import environ
from pathlib import Path

from gypsummount._edge.settings import DEFAULT_CONFIG_APPLY_S
from gypsummount._edge.settings import DEFAULT_DESCRIPTORS
from gypsummount._edge.settings import DutySettings
from gypsummount._edge.settings import EdgeBounds
from gypsummount._edge.settings import EdgeSettings
from gypsummount.errors import SettingError
from gypsummount.platform.client_limits import read_client_limits

SETTINGS_PATH_VARIABLE = "GYPSUMMOUNT_BOOT"
METRICS_PORT_VARIABLE = "GYPSUMMOUNT_METRICS_PORT"
DEFAULT_METRICS_PORT = 9102
DISPATCHERS_VARIABLE = "GYPSUMMOUNT_DISPATCHERS"
DISPATCHERS_VALUES = {"": False, "off": False, "on": True}
MAX_LOOKUP_TTL_S = 2.0
BYTES_PER_MB = 1_000_000
# A shorter lease leaves no time for a renewal beside its margins.
MIN_LEASE_S = 1.0
# Fields of ``cloud`` and names in ``bounds``, with the attributes of
# ``DutySettings`` that they set.
CLOUD_FIELDS = {"dutyPerS": "calls_per_s", "requestsPerS": "requests_per_s"}
DUTY_BOUNDS = {
    "leaseS": "lease_s",
    "thawS": "thaw_s",
    "reportWindowS": "report_window_s",
    "usageOff": "usage_off",
    "usageDelayS": "usage_delay_s",
}


@dataclass(slots=True, frozen=True)
class PlatformSettings:
    """Settings of the edge, and the ``host:port`` of the store."""

    edge: EdgeSettings
    store: str


def get_settings_path() -> Path:
    """Return the path of the settings file.

    :raises SettingError: when the environment variable is not set.
    """
    text = environ.get(SETTINGS_PATH_VARIABLE)
    if not text:
        raise SettingError(
            f"{SETTINGS_PATH_VARIABLE} is not set; give the path of the "
            "settings file"
        )
    return Path(text)


def read_metrics_port() -> int:
    """Return the port of the metrics endpoint.

    It must be the port that the deploy file names.

    :raises SettingError: when the environment variable is not a port.
    """
    text = environ.get(METRICS_PORT_VARIABLE, str(DEFAULT_METRICS_PORT))
    if not text.isdecimal() or not 0 < int(text) < 65536:
        raise SettingError(
            f"{METRICS_PORT_VARIABLE}: '{text}' is not a port; use 1 to 65535"
        )
    return int(text)


def read_settings(path: Path) -> PlatformSettings:
    """Return the settings from a JSON file.

    :raises SettingError: when the file cannot be read, a field is missing
        or of the wrong type, or a limit of clients is out of range.
    """
    try:
        return _decode(loads(path.read_text(encoding="utf-8")))
    except OSError as error:
        raise SettingError(
            f"{path}: cannot be read ({error.strerror}); check its permissions"
        ) from None
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise SettingError(
            f"{path}: a field is missing or of the wrong type ({error!r}); "
            "compare the file with the platform's settings page"
        ) from None


def _decode(raw: dict) -> PlatformSettings:
    bounds = _decode_bounds(raw["bounds"])
    limits = raw.get("limits") or {}
    listen = raw["listen"]
    edge = EdgeSettings(
        instance=raw["node"],
        host=raw["ip"],
        domain=raw["zone"],
        region=raw["region"],
        regions=dict(raw["zones"]),
        listen=listen["front"],
        ready_listen=listen["ready"],
        directory_listen=listen["directory"],
        control_listen=listen.get("control", ""),
        # All instances use the first internal port for messages to peers, so
        # the port of a seed is not needed.
        peer_port=int(raw["internalPorts"][0]),
        seeds=tuple(
            seed.rpartition(":")[0] for seed in raw.get("seeds") or ()
        ),
        bounds=EdgeBounds(
            revoke_s=bounds.get("revokeS", 5.0),
            grace_s=bounds.get("graceS", 6.0),
            lookup_ttl_s=min(bounds.get("ttl_max_s", 5.0), MAX_LOOKUP_TTL_S),
            config_apply_s=bounds.get("configApplyS", DEFAULT_CONFIG_APPLY_S),
        ),
        descriptors=int(limits.get("fileDescriptors") or DEFAULT_DESCRIPTORS),
        capacity=_read_capacity(limits),
        memory_bytes=int(float(limits.get("memoryMb") or 0) * BYTES_PER_MB),
        duties=_decode_duties(raw.get("cloud"), bounds, raw["bounds"]),
        client_limits=read_client_limits(),
        uses_dispatchers=_read_dispatchers(),
    )
    return PlatformSettings(edge, raw["platform"]["address"])


def _decode_duties(
    cloud: dict | None, bounds: dict[str, float], texts: list[str]
) -> DutySettings | None:
    """Return the settings of the duties, None if there are none."""
    if not cloud or not cloud.get("duties"):
        return None
    given = {
        attribute: float(cloud[name])
        for name, attribute in CLOUD_FIELDS.items()
        if cloud.get(name) is not None
    }
    for name, attribute in DUTY_BOUNDS.items():
        if name in bounds:
            given[attribute] = bounds[name]
    settings = DutySettings(
        _read_address(cloud["address"]),
        tuple(dict.fromkeys(_read_duty(duty) for duty in cloud["duties"])),
        requires_fencing="requireFencing=false" not in texts,
        **given,
    )
    _check_duties(settings)
    return settings


def _check_duties(settings: DutySettings) -> None:
    if not MIN_LEASE_S <= settings.lease_s < inf:
        raise ValueError(f"leaseS: use at least {MIN_LEASE_S:g}")
    for value in (
        settings.calls_per_s,
        settings.requests_per_s,
        settings.report_window_s,
    ):
        if not 0 < value < inf:
            raise ValueError("a rate or window of the duties is not positive")
    for value in (settings.thaw_s, settings.usage_off, settings.usage_delay_s):
        if not 0 <= value < inf:
            raise ValueError("a bound of the duties is negative")


def _read_duty(duty: object) -> str:
    if not isinstance(duty, str) or not duty:
        raise ValueError("a duty has no name")
    return duty


def _read_address(address: str) -> str:
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise ValueError(f"'{address}' is not an IP with a port")
    return address


def _read_dispatchers() -> bool:
    """Tell whether dispatchers are switched on.

    :raises SettingError: when the environment variable is neither on nor off.
    """
    text = environ.get(DISPATCHERS_VARIABLE, "")
    if text not in DISPATCHERS_VALUES:
        raise SettingError(
            f"{DISPATCHERS_VARIABLE}: '{text}' is not valid; use on or off"
        )
    return DISPATCHERS_VALUES[text]


def _read_capacity(limits: dict) -> float:
    """Return the processor share (cores) of the process."""
    return float(limits.get("cpuShare") or 1.0) * float(
        limits.get("cores") or 1.0
    )


def _decode_bounds(texts: list[str]) -> dict[str, float]:
    """Return the numbers in ``name=value`` texts, by name.

    Flags, whose value is ``true`` or ``false``, are left out.
    """
    bounds = {}
    for text in texts:
        name, _, value = text.partition("=")
        if value not in ("true", "false"):
            bounds[name] = float(value)
    return bounds
