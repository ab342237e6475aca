"""What servers for clients have in common."""

from __future__ import annotations

import socket
import typing

import cheroot.server

from briarseam.clients import budget as budgets
from briarseam.clients import connections as managers

if typing.TYPE_CHECKING:
    from briarseam import inflight


class ManagedServer(cheroot.server.HTTPServer):
    """A server whose connections count in a budget.

    Attributes
    ----------
    budget
        Counts what clients make the process hold.
    in_flight
        Counts requests; none if a shutdown does not wait for them.
    connections
        Accepts and watches connections, once prepared.
    """

    budget: budgets.Budget
    in_flight: inflight.InFlight | None = None
    connections: managers.ConnectionManager
    _connections: typing.Any

    @classmethod
    def prepare_socket(
        cls, *arguments: typing.Any, **options: typing.Any
    ) -> socket.socket:
        """Return a socket whose connections have small receive queues.

        Bytes that wait in them count as memory of the process, and the
        system would let each queue grow to several megabytes.
        """
        base: typing.Any = super()
        sock: socket.socket = base.prepare_socket(*arguments, **options)
        sock.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            budgets.RECEIVE_QUEUE_BYTES // 2,
        )
        return sock

    def prepare(self) -> None:
        """Bind, and watch connections in place of cheroot."""
        base: typing.Any = super()
        base.prepare()
        replaced: typing.Any = self._connections
        replaced.close()
        self.connections = managers.ConnectionManager(
            self, self.budget, self.in_flight
        )
        self._connections = self.connections
