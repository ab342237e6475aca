"""Calls of the serving process to other instances."""

from __future__ import annotations

import threading
import typing

from briarseam.crashes import loss_sharing
from briarseam.eligibility import cell_limits
from briarseam.feeds import shared_messages
from briarseam.feeds import sharing as feeds_sharing
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

# Timeout of calls that publish or query state; an answer takes a few ms.
CALL_TIMEOUT_S = 1.0
# Key of the ranking of instances that read topics for their cell; the first
# also represents the cell to other cells.
SPEAKER_KEY = "speaker"
# The first reads topics; the others replace it while the store does not
# answer it.  If the store rejects a third of the instances, 24 of 25 cells
# still have at least one of three readers.
TOPIC_READERS = 3

Reply = typing.TypeVar("Reply")


class PeerCalls:
    """Calls to instances of this cell and of other cells.

    Parameters
    ----------
    instances
        All instances.

    Attributes
    ----------
    remote_clients
        Clients of the speakers of other cells, by address.
    """

    def __init__(self, instances: node_instances.Instances) -> None:
        self.instances = instances
        self.remote_clients: dict[str, clients.Client] = {}
        self.lock = threading.Lock()

    def require_membership(self) -> membership.Membership:
        """Return the membership.

        Raises
        ------
        NoReplyError
            If this instance has not joined its peers yet.
        """
        if self.instances.membership is None:
            raise replies.NoReplyError("not connected to peers yet")
        return self.instances.membership

    def call_in_cell(
        self,
        name: str,
        message: codec.Message,
        kind: type[Reply],
        timeout_s: float,
    ) -> Reply:
        """Call an instance of this cell.

        Raises
        ------
        NoReplyError
            If it does not answer with a message of the expected kind.
        """
        try:
            client = self.require_membership().client(name)
            return replies.require_type(client.call(message, timeout_s), kind)
        except wire_connection.WireError as error:
            raise replies.NoReplyError(str(error)) from error

    def call_remote(
        self,
        address: str,
        message: codec.Message,
        kind: type[Reply],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Reply:
        """Call an instance of another cell.

        Raises
        ------
        NoReplyError
            If it does not answer with a message of the expected kind.
        """
        try:
            return replies.require_type(
                self.remote_client(address).call(message, timeout_s), kind
            )
        except wire_connection.WireError as error:
            raise replies.NoReplyError(str(error)) from error

    def call_member(
        self,
        member: members.Member,
        message: codec.Message,
        kind: type[Reply],
        timeout_s: float,
    ) -> Reply:
        """Call an instance of any cell.

        Raises
        ------
        NoReplyError
            If it does not answer with a message of the expected kind.
        """
        if member.cell == self.name():
            return self.call_in_cell(member.name, message, kind, timeout_s)
        return self.call_remote(member.agent_address, message, kind, timeout_s)

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

    # This cell and other cells.

    def name(self) -> str:
        """Return the name of this cell; empty before joining the peers."""
        membership = self.instances.membership
        return "" if membership is None else membership.local_member.cell

    def size(self) -> int:
        """Return the number of instances of this cell."""
        membership = self.instances.membership
        return 1 if membership is None else len(membership.members())

    def peers(self) -> list[str]:
        """Return the addresses of the other instances of this cell."""
        membership = self.instances.membership
        if membership is None:
            return []
        return [
            member.agent_address
            for member in membership.live()
            if member.name != self.instances.own_name
        ]

    def topic_readers(self) -> list[str]:
        """Return the topic readers of this cell, the speaker first."""
        return rank.strongest(
            SPEAKER_KEY,
            self.instances.names_in_cell(),
            self.instances.weight_of,
        )[:TOPIC_READERS]

    def speaker(self) -> str:
        """Return the speaker of this cell; empty while unknown."""
        readers = self.topic_readers()
        return readers[0] if readers else ""

    def is_speaker(self) -> bool:
        """Return whether this instance is the speaker of its cell."""
        return self.speaker() == self.instances.own_name

    def addresses(self) -> list[str]:
        """Return the address of the speaker of each other cell.

        Clients of instances that are no longer speakers are closed.
        """
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
        """Publish the load of this cell to another cell.

        Raises
        ------
        NoReplyError
            If it may not have been applied.
        """
        self.call_remote(address, message, cell_loads.CellLoadNoted)

    def send_losses(
        self, address: str, message: loss_sharing.KeysLost
    ) -> None:
        """Send what was lost with an endpoint to another cell.

        Raises
        ------
        NoReplyError
            If they may not have been applied.
        """
        self.call_remote(address, message, loss_sharing.KeysLostNoted)

    def publish_weights(
        self, address: str, message: cell_weights.WeightsTold
    ) -> None:
        """Publish which engines are loading new weights.

        Raises
        ------
        NoReplyError
            If it may not have been applied.
        """
        self.call_remote(address, message, cell_weights.WeightsNoted)

    def publish_rate_limits(
        self, address: str, message: cell_limits.Message
    ) -> None:
        """Publish the limits that endpoints named to this cell.

        Raises
        ------
        NoReplyError
            If they may not have been applied.
        """
        self.call_remote(address, message, cell_limits.CellRateLimitsNoted)

    def query_configuration(
        self, name: str
    ) -> peer_configuration.ConfigurationTold:
        """Query an instance of this cell for its configuration.

        Raises
        ------
        NoReplyError
            If it does not answer.
        """
        query = peer_configuration.ConfigurationAsked()
        kind = peer_configuration.ConfigurationTold
        return self.call_in_cell(name, query, kind, CALL_TIMEOUT_S)

    # Reads through other instances of this cell.

    def instance_count(self) -> int:
        """Return the number of all instances."""
        return len(self.instances.all())

    def read_topic(
        self,
        reader: str,
        query: shared_messages.RecordsAsked,
        timeout_s: float,
    ) -> shared_messages.RecordsTold:
        """Query a reader for records of a shared topic.

        Raises
        ------
        ReaderUnavailableError
            If the reader does not answer.
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
        """Query a reader for the contents of KV cache stores.

        Raises
        ------
        ReaderUnavailableError
            If the reader does not answer.
        """
        kind = store_messages.StoresTold
        try:
            return self.call_in_cell(reader, query, kind, timeout_s)
        except replies.NoReplyError as error:
            raise shared_watch.ReaderUnavailableError(str(error)) from error
