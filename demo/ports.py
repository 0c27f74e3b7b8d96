"""Reserve ports on the loopback address for processes that listen there later."""

import itertools
import random
import socket

__all__ = ["INSTANCE_PORTS", "PortReservations"]

HOST = "127.0.0.1"
INSTANCE_PORTS = range(20_000, 30_000)
"""Below the ports that outgoing connections are given (Linux: from 32,768): a port
that was free may be taken by one of them before the instance listens there."""


class PortReservations:
    """Own reservations of TCP ports, which other processes of the machine see.

    A reservation is a bound UDP socket of the same number: it leaves the TCP port to
    the process that listens there, and nobody else can reserve it meanwhile.
    """

    def __init__(self):
        self._sockets: list[socket.socket] = []

    def reserve(self, count: int) -> list[int]:
        """Return TCP ports that are free now and that nobody has reserved.

        Raises ``OSError`` if there are too few.
        """
        candidates = random.sample(INSTANCE_PORTS, len(INSTANCE_PORTS))
        ports = list(itertools.islice(filter(self._try_reserve, candidates), count))
        if len(ports) < count:
            raise OSError(f"{count} ports wanted, {len(ports)} of {INSTANCE_PORTS}")
        return ports

    def close(self) -> None:
        """Give all reservations back."""
        for one in self._sockets:
            one.close()
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
