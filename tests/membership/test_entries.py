from __future__ import annotations

import typing

import pytest

from briarseam.membership import entries
from briarseam.membership import messages
from briarseam.membership import presence
from briarseam.testing import waiting
from briarseam.wire import client
from briarseam.wire import connection
from tests.membership import nodes as helpers

ADDRESS = "127.0.0.1:8001"
LINGER_S = 7.0
Start = typing.Callable[..., helpers.Node]


class Instance:
    """An agent with one entry process."""

    def __init__(self, start: Start, name: str) -> None:
        self.node = start(name)
        self.local = entries.LocalEntries(self.node.membership, LINGER_S)
        self.local.register(self.node.server.router)
        wire = client.Client(
            self.node.server.address,
            connection.Identity("entry", name),
            helpers.KEY,
        )
        self.presence = presence.Presence(wire, ADDRESS, interval_s=0.05)

    def addresses(self) -> tuple[str, ...]:
        return self.node.membership.local_member.entry_addresses


@pytest.fixture
def instance(start: Start) -> typing.Iterator[Instance]:
    instance = Instance(start, "a")
    yield instance
    instance.presence.close()


def test_entry_address_is_published_from_start_to_leaving(
    instance: Instance,
) -> None:
    """The address of an entry is in lookups from its start until it leaves;
    the agent counts it as leaving until it is gone.
    """
    instance.presence.start()
    waiting.until(lambda: instance.addresses() == (ADDRESS,))
    instance.presence.leave()
    assert instance.addresses() == ()
    assert instance.local.leaving() == 1
    assert instance.presence.linger_s == LINGER_S
    instance.presence.close()
    assert instance.local.leaving() == 0


def test_leaving_is_confirmed_only_after_peers_have_it(
    instance: Instance, start: Start
) -> None:
    """A leaving entry may stop only after no agent has it in lookups: it
    reports until all peers of its agent have its state.
    """
    peer = start("b")
    instance.presence.report()
    waiting.until(lambda: addresses_known_to(peer) == {ADDRESS})
    peer.blocked.add("a")
    instance.presence.leave()
    assert not instance.presence.published
    peer.blocked.clear()
    waiting.until(instance.presence.leaving_published)
    assert addresses_known_to(peer) == set()


def test_leaving_is_unconfirmed_while_introduction_is_open(
    instance: Instance, start: Start, listing: helpers.FakeInstanceList
) -> None:
    """An entry leaves while a new peer has read its agent's introduction and
    the reply is outstanding: that peer has the former address.
    """
    instance.presence.report()
    published: list[bool] = []
    listing.rows.clear()
    peer = start("b", listed=False)
    handlers = peer.server.router.handlers
    original = handlers[messages.Introduction]

    def leave_before_reply(
        sender: connection.Identity, beat: messages.Introduction
    ) -> object:
        reply = original(sender, beat)
        if not published:
            instance.presence.leave()
            published.append(instance.presence.published)
        return reply

    handlers[messages.Introduction] = leave_before_reply
    local_agent = peer.membership.local_agent
    instance.node.membership.table.get_or_add(
        "b", local_agent.zone, local_agent.agent_address
    )
    waiting.until(lambda: published)
    assert published == [False]
    waiting.until(instance.presence.leaving_published)
    assert addresses_known_to(peer) == set()


def test_leaving_is_unconfirmed_for_newly_received_peer(
    instance: Instance,
) -> None:
    """An entry leaves just after its agent got the first message of a new
    peer, to which it has not sent an introduction.
    """
    instance.presence.report()
    membership = instance.node.membership
    assert membership.is_published()
    new = messages.About("b", "rumoi", "127.0.0.1:1", (), 1, False)
    membership.table.apply_about(new, membership.clock())
    assert not membership.is_published()


def addresses_known_to(node: helpers.Node) -> set[str]:
    """Return the entry addresses that a node has of the agent ``a``."""
    return {
        address
        for member in node.membership.live()
        if member.name == "a"
        for address in member.entry_addresses
    }


def test_entry_of_unready_agent_is_not_published(instance: Instance) -> None:
    """An agent that has just started and knows no endpoints would refuse all
    callers, so its entry is published only once the agent is ready.  Later
    the entry stays published while the agent is not ready.
    """
    ready: list[bool] = []
    instance.local.ready = lambda: bool(ready)
    instance.presence.report()
    assert instance.addresses() == ()
    ready.append(True)
    instance.presence.report()
    assert instance.addresses() == (ADDRESS,)
    ready.clear()
    instance.presence.report()
    assert instance.addresses() == (ADDRESS,)


def test_silent_entry_is_removed(instance: Instance) -> None:
    """The entry of a killed process must not stay in lookups while its agent
    is alive, since callers would find a closed port.
    """
    clock = helpers.SkippingClock(instance.node.membership.clock)
    instance.node.membership.clock = clock
    instance.presence.report()
    assert instance.addresses() == (ADDRESS,)
    clock.skipped_s = entries.EXPIRE_S + 1
    instance.local.review()
    assert instance.addresses() == ()
    instance.presence.report()
    assert instance.addresses() == (ADDRESS,)
