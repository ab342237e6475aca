"""The other agents, asked over the wire."""

from __future__ import annotations

import threading
import typing

from briarseam.timeline import messages
from briarseam.timeline import service
from briarseam.wire import client as clients
from briarseam.wire import codec
from briarseam.wire import connection as connections

ASK_TIMEOUT_S = 1.5
KEPT_CONNECTIONS = 1

Addresses = typing.Callable[[], typing.Mapping[str, str]]


class Peers:
    """Asks agents for their instances' events.

    Parameters
    ----------
    me
        This process.
    key
        The shared key.
    addresses
        Returns the addresses of all other agents by name.
    clock
        Stamps the frames.
    """

    def __init__(
        self,
        me: connections.Identity,
        key: bytes,
        addresses: Addresses,
        clock: connections.Clock | None = None,
    ) -> None:
        self.me = me
        self.key = key
        self.addresses = addresses
        self.clock = clock
        self.clients: dict[str, clients.Client] = {}
        self.lock = threading.Lock()

    def others(self) -> service.Others:
        """Return what the service needs."""
        return service.Others(lambda: sorted(self.addresses()), self.ask)

    def ask(self, name: str, request: messages.FetchEvents) -> messages.Events:
        """Return an instance's events.

        Raises
        ------
        service.AskPeerError
            When the agent is away or does not understand.
        """
        address = self.addresses().get(name)
        if address is None:
            raise service.AskPeerError("not known any more")
        try:
            reply = self.client(address).call(request, ASK_TIMEOUT_S)
        except connections.WireError as error:
            raise service.AskPeerError(str(error)) from error
        match reply:
            case messages.Events():
                return reply
            case codec.Failed(detail=detail):
                raise service.AskPeerError(detail)
        raise service.AskPeerError(f"answered {type(reply).__name__}")

    def client(self, address: str) -> clients.Client:
        """Return the client of an address; forget those long gone."""
        with self.lock:
            present = set(self.addresses().values())
            for known in set(self.clients) - present:
                self.clients.pop(known).close()
            if address not in self.clients:
                self.clients[address] = clients.Client(
                    address,
                    self.me,
                    self.key,
                    KEPT_CONNECTIONS,
                    self.clock,
                )
            return self.clients[address]

    def close(self) -> None:
        """Close all connections."""
        with self.lock:
            for client in self.clients.values():
                client.close()
