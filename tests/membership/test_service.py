from __future__ import annotations

import time
import typing

import pytest

from briarseam.membership import messages
from briarseam.membership import service
from briarseam.membership import state
from briarseam.testing import waiting
from briarseam.wire import connection
from tests.membership import nodes as helpers

ALIVE = state.MemberState.ALIVE
LEAVING = state.MemberState.LEAVING
SUSPECT = state.MemberState.SUSPECT
Start = typing.Callable[..., helpers.Node]


def start_all(start: Start, *names: str) -> list[helpers.Node]:
    """Start nodes and wait until each hears all."""
    nodes = [start(name) for name in names]
    waiting.until(lambda: all(node.names() == set(names) for node in nodes))
    return nodes


def test_listed_agents_find_each_other(start: Start) -> None:
    """Three agents start and are on the list: each serves its callers
    knowing the other two, with their entry addresses.
    """
    nodes = start_all(start, "a", "b", "c")
    entries = {
        address
        for member in nodes[0].membership.members()
        for address in member.entry_addresses
    }
    assert entries == {"entry-of-a", "entry-of-b", "entry-of-c"}
    for node in nodes:
        waiting.until(node.membership.is_fresh)


def test_unlisted_agent_is_found_through_seed(start: Start) -> None:
    """A new agent is not on the lagging list yet.  It asks a seed, and
    the agents that the seed never told of it still hear it.
    """
    nodes = start_all(start, "a", "b")
    seed = nodes[0].membership.local_agent.agent_address
    new = start("c", listed=False, seeds=(seed,))
    expected = {"a", "b", "c"}
    waiting.until(
        lambda: all(node.names() == expected for node in [*nodes, new])
    )


def test_leaving_is_published_at_once(start: Start) -> None:
    """An operator stops an agent: its peers stop naming it to callers
    before the next heartbeat is due, though the list still shows it live.
    """
    a, b = start_all(start, "a", "b")
    for node in (a, b):
        node.membership.heartbeat_interval_s = 60.0
        node.membership.table.suspect_after_s = 60.0
    before = b.sender_to("a").heartbeats_answered
    waiting.until(lambda: b.sender_to("a").heartbeats_answered > before)
    b.membership.announce_leaving()
    waiting.until(lambda: a.names() == {"a"}, timeout_s=10)
    assert a.state_of("b") is LEAVING
    assert b.membership.local_member.state is LEAVING


def test_listed_as_leaving_is_not_live(
    start: Start, listing: helpers.FakeInstanceList
) -> None:
    """The platform marks an instance as leaving before the agent there
    hears of it: callers are no longer sent to it.
    """
    a, b = start_all(start, "a", "b")
    listing.put("b", b.membership.local_agent.agent_address, state="leaving")
    waiting.until(lambda: a.names() == {"a"})
    assert a.state_of("b") is LEAVING


def test_dead_agent_is_gone_while_still_listed(start: Start) -> None:
    """An agent is killed; the lagging list goes on showing it.  Its peers
    find it silent, ask each other, and drop it.
    """
    a, b, c = start_all(start, "a", "b", "c")
    c.stop()
    waiting.until(lambda: a.state_of("c") is None, timeout_s=10)
    waiting.until(lambda: b.state_of("c") is None, timeout_s=10)
    assert a.names() == b.names() == {"a", "b"}


def test_member_reachable_through_third_is_not_gone(start: Start) -> None:
    """The path between two agents is cut while both reach a third.  Each
    suspects the other, asks the third, and does not call it gone.
    """
    a, b, c = start_all(start, "a", "b", "c")
    helpers.block_between(a, b)
    waiting.until(lambda: a.state_of("b") is SUSPECT, timeout_s=10)
    record = a.membership.table.records["b"]
    waiting.until(lambda: record.confirmed_at is not None, timeout_s=10)
    assert a.state_of("b") is SUSPECT
    assert c.names() == {"a", "b", "c"}
    helpers.unblock(a, b)
    waiting.until(lambda: a.names() == {"a", "b", "c"}, timeout_s=10)


def test_restarted_agent_replaces_former_incarnation(start: Start) -> None:
    """An agent is replaced under the same name and another address while
    the list still shows the old address: its peers hear the new one.
    """
    a, b = start_all(start, "a", "b")
    old = b.membership.incarnation
    a.membership.table.records["b"].sections["load"] = b"old"
    b.stop()
    seed = a.membership.local_agent.agent_address
    new = start("b", listed=False, seeds=(seed,))
    assert new.membership.incarnation > old
    record = a.membership.table.records["b"]
    waiting.until(
        lambda: record.incarnation == new.membership.incarnation,
        timeout_s=10,
    )
    waiting.until(lambda: a.names() == {"a", "b"}, timeout_s=10)
    assert "load" not in record.sections


def test_superseded_agent_is_not_fresh(start: Start) -> None:
    """A frozen agent was replaced and wakes beside its replacement.  It
    is told so by its peers and stops counting its view as current.
    """
    a, new = start_all(start, "a", "b")
    a_address = a.membership.local_agent.agent_address
    earlier = new.membership.incarnation - 1
    old = start("b", listed=False, seeds=(a_address,), incarnation=earlier)
    waiting.until(lambda: old.membership.freshness.superseded)
    assert not old.membership.is_fresh()
    record = a.membership.table.records["b"]
    assert record.incarnation == new.membership.incarnation


def test_agent_is_not_fresh_after_a_freeze(start: Start) -> None:
    """An agent is frozen for a minute.  In its first moment awake its view
    still shows dead peers alive; it must not count until a peer answered.
    """
    clock = helpers.SkippingClock(time.monotonic)
    a = start("a", clock=clock)
    b = start("b")
    waiting.until(lambda: a.names() == b.names() == {"a", "b"})
    waiting.until(a.membership.is_fresh)
    b.blocked.add("a")
    clock.skipped_s += 60
    assert not a.membership.is_fresh()
    waiting.until(lambda: a.state_of("b") is SUSPECT)
    b.blocked.clear()
    waiting.until(a.membership.is_fresh, timeout_s=10)
    waiting.until(lambda: a.names() == {"a", "b"})


def test_reply_read_after_a_freeze_does_not_renew_freshness(
    start: Start,
) -> None:
    """An agent is frozen while a reply is on its way to it, and the cell
    is gone when it wakes.  The reply that it finds in its socket shows
    that the peer lived when it was asked, not now.
    """
    clock = helpers.SkippingClock(time.monotonic)
    a = start("a", clock=clock)
    b = start("b")
    waiting.until(lambda: a.names() == b.names() == {"a", "b"})
    handlers = b.server.router.handlers
    original = handlers[messages.Heartbeat]

    def answer_before_the_freeze(
        peer: connection.Identity, heartbeat: messages.Heartbeat
    ) -> object:
        reply = original(peer, heartbeat)
        clock.skipped_s += 60
        b.blocked.add("a")
        return reply

    handlers[messages.Heartbeat] = answer_before_the_freeze
    waiting.until(lambda: a.sender_to("b").failures)
    assert clock.skipped_s == 60
    assert not a.membership.is_fresh()


def test_sections_are_carried_by_heartbeats(start: Start) -> None:
    """A slice shares a number with the cell; peers get each change, and
    one slice's fault does not make the member look dead.
    """
    a, b = start_all(start, "a", "b")
    received: dict[str, bytes] = {}
    content = {"value": b"1"}

    def fail(member: str, data: bytes) -> None:
        raise ValueError(member)

    b.membership.add_section("bad", lambda: b"x", fail)
    a.membership.add_section("bad", lambda: b"y", fail)
    b.membership.add_section(
        "load", lambda: content["value"], received.__setitem__
    )
    a.membership.add_section("load", lambda: b"", received.__setitem__)
    waiting.until(lambda: received.get("b") == b"1")
    content["value"] = b"2"
    waiting.until(lambda: received.get("b") == b"2")
    sections = a.membership.table.records["b"].sections
    assert sections["load"] == b"2"
    assert a.names() == {"a", "b"}


def test_client_reaches_a_member_by_name(start: Start) -> None:
    """A slice calls a peer by name, wherever it runs now."""
    a, b = start_all(start, "a", "b")
    assert a.membership.client("b").address == b.server.address
    with pytest.raises(service.UnknownMemberError):
        a.membership.client("z")


def test_half_of_a_cell_replaced_at_once(
    start: Start, listing: helpers.FakeInstanceList
) -> None:
    """The platform replaces half of a cell in one go.  The rest drop the
    old and hear the new, though no new one knows more than the list.
    """
    nodes = start_all(start, "a", "b", "c", "d")
    for node in nodes[2:]:
        node.stop()
        del listing.rows[node.membership.local_agent.name]
    new = [start("e"), start("f")]
    expected = {"a", "b", "e", "f"}
    waiting.until(
        lambda: all(node.names() == expected for node in [*nodes[:2], *new]),
        timeout_s=10,
    )
