"""Settings of an instance whose sockets are not used."""

from gypsummount._edge.settings import EdgeBounds
from gypsummount._edge.settings import EdgeSettings


def create_settings(name="own", *, duties=None):
    return EdgeSettings(
        instance=name,
        host="10.0.9.1",
        domain="r1-a",
        region="r1",
        regions={"r1-a": "r1"},
        listen="",
        ready_listen="",
        directory_listen="",
        control_listen="",
        peer_port=1,
        seeds=(),
        bounds=EdgeBounds(5.0, 6.0, 2.0),
        duties=duties,
    )
