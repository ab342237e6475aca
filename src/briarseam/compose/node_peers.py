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

# Published loads of engines are up to this old, and prompts that arrive in
# the meantime are placed without them.
HEARTBEAT_INTERVAL_S = 0.5
# Three heartbeats and a margin; callers are no longer directed to an instance
# that is suspect.
SUSPECT_AFTER_S = 1.6
LISTING_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True)
class MessageHandler:
    """Handler of one kind of message of other instances.

    Attributes
    ----------
    answer
        Returns the answer without waiting.
    wait
        Awaited with the message before `answer`, without a thread; ``None``
        if messages are answered immediately.
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
    """Join the other instances once the store provides the secret.

    Parameters
    ----------
    settings
        The settings of this process.
    store
        The platform's store.
    registrations
        Registrations of all instances.
    heartbeat_sections
        The sections of heartbeats.
    handlers
        The handlers of other instances' messages by message type.
    stopping
        Ends the attempts to join.
    malformed_counter
        Counts sections of heartbeats that can't be read.
    loop
        Runs the connections to and from other instances.

    Returns
    -------
    Membership or None
        The membership; ``None`` if `stopping` ended the attempts.
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
            router.on_nonblocking(kind, handle)
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
    """Answer a message regardless of its sender."""
    del peer
    return answer(message)
