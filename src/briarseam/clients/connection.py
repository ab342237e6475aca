"""A client's connection."""

from __future__ import annotations

import typing

import cheroot.makefile

from briarseam import bounded_reads
from briarseam import resets
from briarseam.clients import budget as budgets
from briarseam.clients import reader as readers

if typing.TYPE_CHECKING:
    import socket


class Connection(resets.ResettableConnection):
    """A connection that a :class:`ConnectionManager` watches.

    Parameters
    ----------
    server
        The server that has accepted it; it has a budget.
    sock
        The socket, which has a timeout, so that its descriptor does not block.
    account
        What it makes the process hold.

    Attributes
    ----------
    share
        Its part in the budget.
    meter
        Bounds what is read from the client.
    has_entered
        Whether a request of it counts as in flight.
    head_bytes
        Size of the head of its present request.
    """

    rfile: readers.ClientReader
    last_used: float

    def __init__(
        self, server: typing.Any, sock: socket.socket, account: budgets.Account
    ) -> None:
        self.account = account
        self.share = budgets.Share(server.budget, account)
        self.meter = bounded_reads.Meter()
        self.has_entered = False
        self.head_bytes = 0

        def make_file(sock: socket.socket, mode: str, size: int) -> typing.Any:
            if "r" in mode:
                return readers.ClientReader(sock, self.meter, account)
            return self.make_writer(sock, mode, size)

        base: typing.Any = super()
        base.__init__(server, sock, make_file)

    def make_writer(
        self, sock: socket.socket, mode: str, size: int
    ) -> typing.Any:
        """Return what sends to the client."""
        return cheroot.makefile.MakeFile(sock, mode, size)

    def close(self) -> None:
        """Close or reset it; it counts no longer."""
        self.server.budget.close(self.account)
        base: typing.Any = super()
        base.close()
