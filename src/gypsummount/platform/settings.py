"""Decoding of the platform's settings file."""

from dataclasses import dataclass
from json import loads
from os import environ
from pathlib import Path

from gypsummount._edge.settings import DESCRIPTORS
from gypsummount._edge.settings import EdgeBounds
from gypsummount._edge.settings import EdgeSettings
from gypsummount.errors import SettingError

PATH_VARIABLE = "GYPSUMMOUNT_BOOT"
METRICS_VARIABLE = "GYPSUMMOUNT_METRICS_PORT"
METRICS_PORT = 9102
LOOKUP_TTL_S = 2.0


@dataclass(slots=True, frozen=True)
class PlatformSettings:
    """The edge's settings and the address of the platform's store."""

    edge: EdgeSettings
    store: str


def find_path() -> Path:
    """Return the path of the settings file.

    :raises SettingError: when the environment does not name it.
    """
    text = environ.get(PATH_VARIABLE)
    if not text:
        raise SettingError(
            f"{PATH_VARIABLE} is not set; give the path of the settings file"
        )
    return Path(text)


def read_metrics_port() -> int:
    """Return the port of the metrics; the deploy file names the same.

    :raises SettingError: when the environment holds no port.
    """
    text = environ.get(METRICS_VARIABLE, str(METRICS_PORT))
    if not text.isdecimal() or not 0 < int(text) < 65536:
        raise SettingError(
            f"{METRICS_VARIABLE}: '{text}' is no port; give 1 to 65535"
        )
    return int(text)


def read_settings(path: Path) -> PlatformSettings:
    """Return the settings of a file.

    :raises SettingError: when it cannot be read or a field is missing.
    """
    try:
        return _decode(loads(path.read_text(encoding="utf-8")))
    except OSError as error:
        raise SettingError(
            f"{path}: cannot be read ({error.strerror}); look at its rights"
        ) from None
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise SettingError(
            f"{path}: a field is missing or of another type ({error!r}); "
            "compare it with the platform's page on settings"
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
        peer_port=int(raw["internalPorts"][0]),
        seeds=tuple(
            seed.rpartition(":")[0] for seed in raw.get("seeds") or ()
        ),
        bounds=EdgeBounds(
            revoke_s=bounds.get("revokeS", 5.0),
            grace_s=bounds.get("graceS", 6.0),
            lookup_ttl_s=min(bounds.get("ttl_max_s", 5.0), LOOKUP_TTL_S),
        ),
        descriptors=int(limits.get("fileDescriptors") or DESCRIPTORS),
    )
    return PlatformSettings(edge, raw["platform"]["address"])


def _decode_bounds(texts: list[str]) -> dict[str, float]:
    """Return the numeric bounds; each text is ``name=value``."""
    bounds = {}
    for text in texts:
        name, _, value = text.partition("=")
        if value not in ("true", "false"):
            bounds[name] = float(value)
    return bounds
