"""Decoding of the platform's settings file and environment variables."""

from dataclasses import dataclass
from json import loads
from os import environ
from pathlib import Path

from gypsummount._edge.settings import DEFAULT_CONFIG_APPLY_S
from gypsummount._edge.settings import DEFAULT_DESCRIPTORS
from gypsummount._edge.settings import EdgeBounds
from gypsummount._edge.settings import EdgeSettings
from gypsummount.errors import SettingError
from gypsummount.platform.client_limits import read_client_limits

SETTINGS_PATH_VARIABLE = "GYPSUMMOUNT_BOOT"
METRICS_PORT_VARIABLE = "GYPSUMMOUNT_METRICS_PORT"
DEFAULT_METRICS_PORT = 9102
MAX_LOOKUP_TTL_S = 2.0
BYTES_PER_MB = 1_000_000


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
        client_limits=read_client_limits(),
    )
    return PlatformSettings(edge, raw["platform"]["address"])


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
