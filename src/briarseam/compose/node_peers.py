"""Joining the other instances of the system."""

from __future__ import annotations

import typing

from briarseam.feeds import shared_messages
from briarseam.feeds import sharing as feeds_sharing
from briarseam.forwarding import loss_sharing
from briarseam.lookup import rank
from briarseam.membership import service as membership
from briarseam.membership import state as members
from briarseam.peers import registrations
from briarseam.placement import shared_watch
from briarseam.placement import store_messages
from briarseam.platform import names
from briarseam.platform import store as stores
from briarseam.wire import client as clients
from briarseam.wire import connection as wire_connection
from briarseam.wire import server as wire

if typing.TYPE_CHECKING:
    import collections.abc
    import threading

    from briarseam.membership import sections
    from briarseam.placement import store_sharing
    from briarseam.settings import serving

# What instances tell each other of engines' load is as old as this, and
# prompts that arrive meanwhile are placed without it.
HEARTBEAT_S = 0.5
# Three heartbeats and a little: callers are no longer sent there then.
SUSPECT_AFTER_S = 1.6
LISTING_INTERVAL_S = 0.5
# Bound on telling another cell of a loss; an answer takes some ms.
TELL_S = 1.0
TOPIC_READER_KEY = "topic-reader"


class StoreReaders:
    """Asks other instances of the cell about stores that they read.

    Parameters
    ----------
    members
        Returns membership; ``None`` before peers are met.
    """

    def __init__(
        self, members: typing.Callable[[], membership.Membership | None]
    ) -> None:
        self.members = members

    def ask(
        self, reader: str, asked: store_messages.StoresAsked, timeout_s: float
    ) -> store_messages.StoresTold:
        """Ask an instance for changes.

        Raises
        ------
        ReaderUnavailableError
            When it does not answer.
        """
        service = self.members()
        if service is None:
            raise shared_watch.ReaderUnavailableError("no peer is met yet")
        try:
            reply = service.client(reader).call(asked, timeout_s)
        except wire_connection.WireError as error:
            raise shared_watch.ReaderUnavailableError(str(error)) from error
        if not isinstance(reply, store_messages.StoresTold):
            raise shared_watch.ReaderUnavailableError(f"answered {reply}")
        return reply


class TopicReaders:
    """Who reads topics of the store for this cell, and calls to it.

    Parameters
    ----------
    members
        Returns membership; ``None`` before peers are met.
    weight_of
        Returns the work an instance can take, relative to others.
    """

    def __init__(
        self,
        members: typing.Callable[[], membership.Membership | None],
        weight_of: typing.Callable[[str], float],
    ) -> None:
        self.members = members
        self.weight_of = weight_of

    def count(self) -> int:
        """Return the number of all instances."""
        service = self.members()
        return 0 if service is None else len(service.everyone())

    def reader(self) -> str:
        """Return the name of the cell's reader; empty while not known."""
        service = self.members()
        if service is None:
            return ""
        names = [member.name for member in service.live()]
        found = rank.ranked(TOPIC_READER_KEY, names, str, self.weight_of)
        return found[0] if found else ""

    def ask(
        self,
        reader: str,
        asked: shared_messages.RecordsAsked,
        timeout_s: float,
    ) -> shared_messages.RecordsTold:
        """Ask the reader.

        Raises
        ------
        ReaderUnavailableError
            When it does not answer.
        """
        service = self.members()
        if service is None:
            raise feeds_sharing.ReaderUnavailableError("no peer is met yet")
        try:
            reply = service.client(reader).call(asked, timeout_s)
        except wire_connection.WireError as error:
            raise feeds_sharing.ReaderUnavailableError(str(error)) from error
        if not isinstance(reply, shared_messages.RecordsTold):
            raise feeds_sharing.ReaderUnavailableError(f"answered {reply}")
        return reply


class OtherCells:
    """One instance of each cell whose heartbeats are not heard here.

    Parameters
    ----------
    members
        Returns membership; ``None`` before peers are met.
    """

    def __init__(
        self, members: typing.Callable[[], membership.Membership | None]
    ) -> None:
        self.members = members

    def addresses(self) -> list[str]:
        """Return where to reach one instance of each other cell."""
        service = self.members()
        if service is None:
            return []
        found: dict[str, str] = {}
        for member in service.everyone():
            if member.state is members.MemberState.ALIVE:
                found.setdefault(member.cell, member.agent_address)
        found.pop(service.me.cell, None)
        return list(found.values())

    def tell(self, address: str, message: loss_sharing.RequestsLost) -> None:
        """Tell an instance.

        Raises
        ------
        UntoldError
            When it may not have been reached.
        """
        service = self.members()
        if service is None:
            raise loss_sharing.UntoldError("no peer is met yet")
        # Endpoints are rarely lost, so no connection is kept for it.
        client = clients.Client(
            address, service.identity, service.key, max_idle=0
        )
        try:
            reply = client.call(message, TELL_S)
        except wire_connection.WireError as error:
            raise loss_sharing.UntoldError(str(error)) from error
        if not isinstance(reply, loss_sharing.RequestsLostNoted):
            raise loss_sharing.UntoldError(f"answered {reply}")


def join(
    settings: serving.ServeSettings,
    store: stores.StoreClient,
    rows: registrations.Registrations,
    told: collections.abc.Sequence[sections.Section],
    stores_told: store_sharing.StoreSharing,
    losses: loss_sharing.LossSharing,
    reads: feeds_sharing.SharedReads,
    stopping: threading.Event,
) -> membership.Membership | None:
    """Join the other instances, once the store tells the secret.

    Parameters
    ----------
    settings
        The settings of this process.
    store
        The platform's store.
    rows
        Registrations of all instances.
    told
        What heartbeats carry.
    stores_told
        Answers about the stores that this instance reads.
    losses
        Takes in what other cells lost.
    reads
        Answers about the topics that this instance reads for its cell.
    stopping
        Ends the attempts; ``None`` is returned then.
    """
    secret = registrations.agree_on_secret(
        store, names.MEMBERS_TOPIC, stores.encode_keyed, stopping
    )
    if secret is None:
        return None
    service = membership.Membership(
        members.Me(
            name=settings.instance.name,
            zone=settings.instance.region,
            agent_address=str(settings.listen.peers),
            entry_addresses=(str(settings.listen.callers),),
        ),
        rows,
        secret,
        parts_of=rows.groups_of,
        heartbeat_interval_s=HEARTBEAT_S,
        suspect_after_s=SUSPECT_AFTER_S,
        list_interval_s=LISTING_INTERVAL_S,
    )
    for section in told:
        service.add_section(section.name, section.provide, section.consume)
    router = wire.Router()
    service.register(router)
    router.on(
        store_messages.StoresAsked,
        lambda peer, asked: stores_told.answer(asked),
    )
    router.on(loss_sharing.RequestsLost, lambda peer, told: losses.take(told))
    router.on(
        shared_messages.RecordsAsked, lambda peer, asked: reads.answer(asked)
    )
    wire.Server(
        str(settings.listen.peers),
        wire_connection.Identity("agent", settings.instance.name),
        secret,
        router,
    ).start()
    service.start()
    rows.start()
    return service
