"""Joining the other instances of the system."""

from __future__ import annotations

import dataclasses
import functools
import typing

from briarseam.membership import service as membership
from briarseam.membership import state as members
from briarseam.peers import registrations as peer_registrations
from briarseam.platform import framing
from briarseam.platform import names
from briarseam.wire import codec
from briarseam.wire import connection as wire_connection
from briarseam.wire import server as wire

if typing.TYPE_CHECKING:
    import collections.abc
    import threading

    from briarseam import malformed
    from briarseam.membership import sections
    from briarseam.platform import store as stores
    from briarseam.settings import serving
    from briarseam.wire import event_loop

# What instances tell each other of engines' load is as old as this, and
# prompts that arrive meanwhile are placed without it.
HEARTBEAT_INTERVAL_S = 0.5
# Three heartbeats and a little: callers are no longer sent there then.
SUSPECT_AFTER_S = 1.6
LISTING_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True)
class MessageHandler:
    """What answers one kind of message of other instances.

    Attributes
    ----------
    find
        Returns the answer at once.
    wait
        Awaited with the message before, without a thread; none if the
        answer is always due at once.
    """

    answer: typing.Callable[[typing.Any], codec.Message]
    wait: wire.Wait | None = None


def join(
    settings: serving.ServeSettings,
    store: stores.StoreClient,
    registrations: peer_registrations.Registrations,
    heartbeat_sections: collections.abc.Sequence[sections.Section],
    handlers: collections.abc.Mapping[type, MessageHandler],
    stopping: threading.Event,
    malformed_counter: malformed.Tally,
    loop: event_loop.EventLoop,
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
    answers
        What answers other instances' messages, by their kind.
    stopping
        Ends the attempts; ``None`` is returned then.
    tally
        Notes what of heartbeats can't be read.
    loop
        Runs the connections to and from other instances.
    """
    peer_registrations.wait_for_secret(
        registrations, stopping, settings.instance.first_start
    )
    secret = registrations.secret or peer_registrations.agree_on_secret(
        store, names.MEMBERS_TOPIC, framing.encode_keyed, stopping
    )
    if secret is None:
        return None
    registrations.agreed_secret = secret
    service = membership.Membership(
        members.LocalAgent(
            name=settings.instance.name,
            zone=settings.instance.region,
            agent_address=str(settings.listen.peers),
            entry_addresses=(str(settings.listen.callers),),
        ),
        registrations,
        secret,
        cell_of=registrations.cell_of,
        heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
        suspect_after_s=SUSPECT_AFTER_S,
        list_interval_s=LISTING_INTERVAL_S,
        malformed_counter=malformed_counter,
        loop=loop,
    )
    for section in heartbeat_sections:
        service.add_section(section.name, section.provide, section.consume)
    router = wire.Router()
    service.register(router)
    for kind, handler in handlers.items():
        handle = functools.partial(handle_message, handler.answer)
        if handler.wait is None:
            router.on_quick(kind, handle)
        else:
            router.on(kind, handle, handler.wait)
    wire.Server(
        str(settings.listen.peers),
        wire_connection.Identity("agent", settings.instance.name),
        secret,
        router,
        loop=loop,
    ).start()
    service.start()
    registrations.start()
    return service


def handle_message(
    answer: typing.Callable[[typing.Any], codec.Message],
    peer: wire_connection.Identity,
    message: codec.Message,
) -> codec.Message:
    """Answer a message, whoever sent it."""
    del peer
    return answer(message)
