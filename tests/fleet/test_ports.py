"""Port reservations of fleets that run concurrently."""

from gypsummount._common.sockets import bind_address
from gypsummount._demo.fleet import Ports

PORTS_PER_FLEET = 300


class TestPorts:
    def test_two_fleets_are_never_given_the_same_port(self):
        first, second = Ports(), Ports()
        try:
            addresses = {first.reserve() for _ in range(PORTS_PER_FLEET)}
            addresses |= {second.reserve() for _ in range(PORTS_PER_FLEET)}
        finally:
            first.close()
            second.close()
        assert len(addresses) == 2 * PORTS_PER_FLEET

    def test_server_can_listen_on_a_reserved_port(self):
        ports = Ports()
        try:
            (listener,) = bind_address("--listen", ports.reserve())
            listener.close()
        finally:
            ports.close()
