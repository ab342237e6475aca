"""Calls of the one process to other instances, as its parts need them."""

from __future__ import annotations

import threading
import typing

from briarseam.feeds import shared_messages
from briarseam.feeds import sharing as feeds_sharing
from briarseam.forwarding import loss_sharing
from briarseam.lookup import rank
from briarseam.membership import state as members
from briarseam.placement import cell_loads
from briarseam.placement import cell_weights
from briarseam.placement import shared_watch
from briarseam.placement import store_messages
from briarseam.routes import peer_configuration
from briarseam.wire import client as clients
from briarseam.wire import connection as wire_connection
from briarseam.wire import replies

if typing.TYPE_CHECKING:
    from briarseam.compose import node_instances
    from briarseam.membership import service as membership
    from briarseam.wire import codec

# Bound on telling another cell something; an answer takes some ms.
CALL_TIMEOUT_S = 1.0
# Who reads topics for a cell, and speaks for it to others.
SPEAKER_KEY = "speaker"
# One reads topics; others do when the store does not answer that one.  A
# store that turns a third of the instances away leaves one of three in 24
# of 25 cells.
TOPIC_READERS = 3

Reply = typing.TypeVar("Reply")


class PeerCalls:
    """Calls to instances of this cell and of others.

    Parameters
    ----------
    instances
        All instances.
    """

    def __init__(self, instances: node_instances.Instances) -> None:
        self.instances = instances
        self.remote_clients: dict[str, clients.Client] = {}
        self.lock = threading.Lock()

    def require_membership(self) -> membership.Membership:
        """Return membership, or raise :class:`replies.NoReplyError`."""
        if self.instances.membership is None:
            raise replies.NoReplyError("no peer is met yet")
        return self.instances.membership

    def call_in_cell(
        self,
        name: str,
        message: codec.Message,
        kind: type[Reply],
        timeout_s: float,
    ) -> Reply:
        """Ask an instance of this cell.

        Raises
        ------
        NoReplyError
            When it does not answer with what was asked.
        """
        try:
            client = self.require_membership().client(name)
            return replies.checked(client.call(message, timeout_s), kind)
        except wire_connection.WireError as error:
            raise replies.NoReplyError(str(error)) from error

    def call_cell(
        self, address: str, message: codec.Message, kind: type[Reply]
    ) -> Reply:
        """Tell an instance of another cell.

        Raises
        ------
        NoReplyError
            When it does not answer with what was expected.
        """
        try:
            return replies.checked(
                self.remote_client(address).call(message, CALL_TIMEOUT_S), kind
            )
        except wire_connection.WireError as error:
            raise replies.NoReplyError(str(error)) from error

    def remote_client(self, address: str) -> clients.Client:
        """Return the client of an instance of another cell."""
        membership = self.require_membership()
        with self.lock:
            client = self.remote_clients.get(address)
            if client is None:
                client = clients.Client(
                    address, membership.identity, membership.key, max_idle=1
                )
                self.remote_clients[address] = client
        return client

    # This cell and the others.

    def name(self) -> str:
        """Return the name of this cell; empty before peers are met."""
        membership = self.instances.membership
        return "" if membership is None else membership.local_member.cell

    def size(self) -> int:
        """Return how many instances this cell has."""
        membership = self.instances.membership
        return 1 if membership is None else len(membership.members())

    def peers(self) -> list[str]:
        """Return where to reach the other instances of this cell."""
        membership = self.instances.membership
        if membership is None:
            return []
        return [
            member.agent_address
            for member in membership.live()
            if member.name != self.instances.own_name
        ]

    def topic_readers(self) -> list[str]:
        """Return who may read topics for this cell, the speaker first."""
        return rank.strongest(
            SPEAKER_KEY,
            self.instances.names_in_cell(),
            self.instances.weight_of,
        )[:TOPIC_READERS]

    def speaker(self) -> str:
        """Return who speaks for this cell; empty while not known."""
        readers = self.topic_readers()
        return readers[0] if readers else ""

    def is_speaker(self) -> bool:
        """Tell whether this instance speaks for its cell."""
        return self.speaker() == self.instances.own_name

    def addresses(self) -> list[str]:
        """Return where to reach the speaker of each other cell."""
        cells: dict[str, dict[str, str]] = {}
        for member in self.instances.all():
            if member.state is members.MemberState.ALIVE:
                cell = cells.setdefault(member.cell, {})
                cell[member.name] = member.agent_address
        cells.pop(self.name(), None)
        weight_of = self.instances.weight_of
        addresses = [
            cell[rank.strongest(SPEAKER_KEY, cell, weight_of)[0]]
            for cell in cells.values()
        ]
        with self.lock:
            for address in self.remote_clients.keys() - set(addresses):
                self.remote_clients.pop(address).close()
        return addresses

    def publish_load(self, address: str, message: cell_loads.CellLoad) -> None:
        """Tell the work of this cell.

        Raises
        ------
        NoReplyError
            When it may not have been taken in.
        """
        self.call_cell(address, message, cell_loads.CellLoadNoted)

    def send_losses(
        self, address: str, message: loss_sharing.RequestsLost
    ) -> None:
        """Tell requests that were lost with an endpoint.

        Raises
        ------
        NoReplyError
            When they may not have been taken in.
        """
        self.call_cell(address, message, loss_sharing.RequestsLostNoted)

    def publish_weights(
        self, address: str, message: cell_weights.WeightsTold
    ) -> None:
        """Tell which engines are being given new weights.

        Raises
        ------
        NoReplyError
            When it may not have been taken in.
        """
        self.call_cell(address, message, cell_weights.WeightsNoted)

    def query_configuration(
        self, name: str
    ) -> peer_configuration.ConfigurationTold:
        """Ask an instance of this cell for its configuration.

        Raises
        ------
        NoReplyError
            When it does not answer.
        """
        query = peer_configuration.ConfigurationAsked()
        kind = peer_configuration.ConfigurationTold
        return self.call_in_cell(name, query, kind, CALL_TIMEOUT_S)

    # Instances of this cell that read for it.

    def instance_count(self) -> int:
        """Return the number of all instances."""
        return len(self.instances.all())

    def read_topic(
        self,
        reader: str,
        query: shared_messages.RecordsAsked,
        timeout_s: float,
    ) -> shared_messages.RecordsTold:
        """Ask for records of a shared topic.

        Raises
        ------
        ReaderUnavailableError
            When the reader does not answer.
        """
        kind = shared_messages.RecordsTold
        try:
            return self.call_in_cell(reader, query, kind, timeout_s)
        except replies.NoReplyError as error:
            raise feeds_sharing.ReaderUnavailableError(str(error)) from error

    def read_stores(
        self,
        reader: str,
        query: store_messages.StoresAsked,
        timeout_s: float,
    ) -> store_messages.StoresTold:
        """Ask what stores of KV cache keep.

        Raises
        ------
        ReaderUnavailableError
            When the reader does not answer.
        """
        kind = store_messages.StoresTold
        try:
            return self.call_in_cell(reader, query, kind, timeout_s)
        except replies.NoReplyError as error:
            raise shared_watch.ReaderUnavailableError(str(error)) from error
