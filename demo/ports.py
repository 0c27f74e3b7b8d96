"""Reserve ports on the loopback address for processes that listen there later."""

import itertools
import random
import socket

__all__ = ["INSTANCE_PORTS", "PortReservations"]

HOST = "127.0.0.1"
INSTANCE_PORTS = range(20_000, 30_000)
"""Below the ephemeral ports (Linux: from 32,768), so that no outgoing connection can
take a reserved port before the instance listens there."""


class PortReservations:
    """Reservations of TCP ports, effective across all processes of the machine.

    A reservation is a UDP socket bound to the same port number: the TCP port stays
    free for the process that will listen there, and no other process can reserve it.
    """

    def __init__(self):
        self._sockets: list[socket.socket] = []

    def reserve(self, count: int) -> list[int]:
        """Return TCP ports that are free now and were not reserved.

        Raises ``OSError`` if fewer than ``count`` are available.
        """
        candidates = random.sample(INSTANCE_PORTS, len(INSTANCE_PORTS))
        ports = list(itertools.islice(filter(self._try_reserve, candidates), count))
        if len(ports) < count:
            raise OSError(
                f"{count} ports requested, {len(ports)} free in {INSTANCE_PORTS}"
            )
        return ports

    def close(self) -> None:
        """Release all reservations."""
        for bound_socket in self._sockets:
            bound_socket.close()
        self._sockets = []

    def _try_reserve(self, port: int) -> bool:
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind((HOST, port))
        except OSError:
            reservation.close()
            return False
        if not _is_free(port):
            reservation.close()
            return False
        self._sockets.append(reservation)
        return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
