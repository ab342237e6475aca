"""Discovery of peers from the seed addresses in the settings."""

from __future__ import annotations

import typing

from briarseam.membership import messages
from briarseam.wire import client as clients
from briarseam.wire import connection as connections

if typing.TYPE_CHECKING:
    from briarseam.membership import client_factory as client_factories
    from briarseam.membership import replies as reply_handlers


def query(
    addresses: typing.Iterable[str],
    client_factory: client_factories.ClientFactory,
    replies: reply_handlers.ReplyHandler,
) -> None:
    """Query each address for its live agents; skip unreachable ones."""
    for address in addresses:
        seed = clients.Client(
            address, client_factory.identity, client_factory.key, 0
        )
        try:
            reply = seed.call(
                messages.PeersAsked(), client_factory.reply_timeout_s
            )
        except connections.WireError:
            continue
        if isinstance(reply, messages.Peers):
            replies.apply_peers(reply)
