"""Sends messages to one instance of each other cell."""

from __future__ import annotations

import typing

import structlog

from briarseam.wire import replies

if typing.TYPE_CHECKING:
    import collections.abc

log = structlog.get_logger("briarseam.peers")


class CellPublisher:
    """Sends messages to other cells, and remembers which it did not reach.

    Parameters
    ----------
    event
        Name of the log line for a cell that is newly not reached.

    Attributes
    ----------
    unreached
        Addresses that may not have received the last message.
    """

    def __init__(self, event: str) -> None:
        self.event = event
        self.unreached: frozenset[str] = frozenset()

    def publish(
        self,
        addresses: collections.abc.Iterable[str],
        send: typing.Callable[[str], None],
    ) -> None:
        """Send a message to some addresses.

        Parameters
        ----------
        addresses
            One for each other cell.
        send
            Sends the message to one address; raises ``NoReplyError`` if it
            may not have been received.
        """
        unreached = set()
        for address in addresses:
            try:
                send(address)
            except replies.NoReplyError as error:
                unreached.add(address)
                if address not in self.unreached:
                    log.warning(self.event, address=address, detail=str(error))
        self.unreached = frozenset(unreached)
