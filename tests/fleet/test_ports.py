"""Port reservations of fleets that run concurrently."""

from gypsummount._common.sockets import bind_address
from gypsummount._demo.fleet import Ports

COUNT = 300


class TestPorts:
    def test_two_fleets_are_never_given_the_same_port(self):
        first, second = Ports(), Ports()
        try:
            taken = {first.take() for _ in range(COUNT)}
            taken |= {second.take() for _ in range(COUNT)}
        finally:
            first.close()
            second.close()
        assert len(taken) == 2 * COUNT

    def test_server_can_listen_on_a_taken_port(self):
        ports = Ports()
        try:
            (listener,) = bind_address("--listen", ports.take())
            listener.close()
        finally:
            ports.close()
