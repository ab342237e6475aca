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
    """Start nodes and wait until each knows all as alive."""
    nodes = [start(name) for name in names]
    waiting.until(lambda: all(node.names() == set(names) for node in nodes))
    return nodes


def test_listed_agents_find_each_other(start: Start) -> None:
    """Agents that are on the instance list know each other, with their entry
    addresses.
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
    """A new agent that is not on the lagging list yet queries a seed; agents
    other than the seed get to know it, too.
    """
    nodes = start_all(start, "a", "b")
    seed = nodes[0].membership.local_agent.agent_address
    new = start("c", listed=False, seeds=(seed,))
    expected = {"a", "b", "c"}
    waiting.until(
        lambda: all(node.names() == expected for node in [*nodes, new])
    )


def test_leaving_is_published_at_once(start: Start) -> None:
    """The peers of a stopping agent remove it from lookups before the next
    heartbeat is due, although the list still shows it live.
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
    """An instance that the list shows as leaving is no longer in lookups,
    even if its agent has not announced it.
    """
    a, b = start_all(start, "a", "b")
    listing.put("b", b.membership.local_agent.agent_address, state="leaving")
    waiting.until(lambda: a.names() == {"a"})
    assert a.state_of("b") is LEAVING


def test_dead_agent_is_gone_while_still_listed(start: Start) -> None:
    """The peers of a killed agent find it silent, query each other and remove
    it, although the lagging list still shows it.
    """
    a, b, c = start_all(start, "a", "b", "c")
    c.stop()
    waiting.until(lambda: a.state_of("c") is None, timeout_s=10)
    waiting.until(lambda: b.state_of("c") is None, timeout_s=10)
    assert a.names() == b.names() == {"a", "b"}


def test_member_reachable_through_third_is_not_gone(start: Start) -> None:
    """The path between two agents fails while both reach a third.  Each
    suspects the other, queries the third, and does not set it gone.
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
    """An agent is replaced under the same name at another address while the
    list still shows the former address: its peers use the new one.
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
    """A suspended agent resumes after its replacement has started.  Its peers
    reply that it is superseded, so its view is no longer fresh.
    """
    a, new = start_all(start, "a", "b")
    a_address = a.membership.local_agent.agent_address
    earlier = new.membership.incarnation - 1
    old = start("b", listed=False, seeds=(a_address,), incarnation=earlier)
    waiting.until(lambda: old.membership.freshness.superseded)
    assert not old.membership.is_fresh()
    record = a.membership.table.records["b"]
    assert record.incarnation == new.membership.incarnation


def test_agent_is_not_fresh_after_suspension(start: Start) -> None:
    """After a suspension an agent's view still shows dead peers as alive, so
    it must not be fresh until a peer has replied.
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


def test_reply_read_after_suspension_does_not_renew_freshness(
    start: Start,
) -> None:
    """An agent is suspended while a reply is in transit, and the peer is gone
    when it resumes.  The reply that it then reads shows that the peer was
    alive when the heartbeat was sent, not now.
    """
    clock = helpers.SkippingClock(time.monotonic)
    a = start("a", clock=clock)
    b = start("b")
    waiting.until(lambda: a.names() == b.names() == {"a", "b"})
    handlers = b.server.router.handlers
    original = handlers[messages.Heartbeat]

    def reply_before_suspension(
        peer: connection.Identity, heartbeat: messages.Heartbeat
    ) -> object:
        reply = original(peer, heartbeat)
        clock.skipped_s += 60
        b.blocked.add("a")
        return reply

    handlers[messages.Heartbeat] = reply_before_suspension
    waiting.until(lambda: a.sender_to("b").failures)
    assert clock.skipped_s == 60
    assert not a.membership.is_fresh()


def test_sections_are_carried_by_heartbeats(start: Start) -> None:
    """Peers get each change of a section's content; an error in another
    section does not make the member look dead.
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
    """A client connects to the current address of a member."""
    a, b = start_all(start, "a", "b")
    assert a.membership.client("b").address == b.server.address
    with pytest.raises(service.UnknownMemberError):
        a.membership.client("z")


def test_half_of_a_cell_replaced_at_once(
    start: Start, listing: helpers.FakeInstanceList
) -> None:
    """If half of a cell is replaced at once, the others remove the former
    agents and get to know the new ones.
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
