from __future__ import annotations

import threading
import typing

import pytest

from briarseam.membership import cells
from briarseam.membership import directory
from briarseam.membership import gossip
from briarseam.membership import messages
from briarseam.membership import state
from briarseam.testing import waiting
from tests import clocks
from tests.membership import nodes as helpers

ALIVE = state.MemberState.ALIVE
SUSPECT = state.MemberState.SUSPECT
Start = typing.Callable[..., helpers.Node]


def everyone(node: helpers.Node) -> dict[str, state.MemberState]:
    """Return the states of all members that a node knows."""
    return {
        member.name: member.state for member in node.membership.all_members()
    }


def start_two_zones(start: Start) -> list[helpers.Node]:
    """Start two agents in one zone, three in another; wait for all."""
    nodes = [start(name, "rumoi") for name in ("a", "b")]
    nodes += [start(name, "ishikari") for name in ("c", "d", "e")]
    wanted = dict.fromkeys("abcde", ALIVE)
    waiting.until(lambda: all(everyone(node) == wanted for node in nodes))
    return nodes


def summaries_agree(
    nodes: list[helpers.Node], cell: str, members: str
) -> bool:
    """Tell whether all that exchange have one summary, of these members.

    Until then a contact of the cell may still be about to replace its own.
    """
    directories = [
        node.membership.gossip.directory
        for node in nodes
        if node.membership.gossip.directory.judges
    ]
    found = [each.summary(cell) for each in directories]
    names = {
        "".join(about.name for about in summary.members)
        for summary in found
        if summary is not None
    }
    versions = {
        summary.stamp.version for summary in found if summary is not None
    }
    return names == {members} and len(versions) == 1


def test_agents_know_the_members_of_other_cells(start: Start) -> None:
    """Agents heartbeat only their own zone's.  A lookup answered in one
    zone must still name the entries of the others.
    """
    nodes = start_two_zones(start)
    for node in nodes:
        assert node.names() in ({"a", "b"}, {"c", "d", "e"})
        entries = {
            address
            for member in node.membership.all_members()
            for address in member.entry_addresses
        }
        assert entries == {f"entry-of-{name}" for name in "abcde"}


def test_leaving_reaches_other_cells(start: Start) -> None:
    """An agent is stopped: agents of other zones stop sending callers to
    it too.
    """
    nodes = start_two_zones(start)
    nodes[2].membership.announce_leaving()
    elsewhere = (None, state.MemberState.LEAVING)
    waiting.until(
        lambda: all(everyone(node).get("c") in elsewhere for node in nodes)
    )


def test_dead_zone_becomes_suspect(
    start: Start, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A whole zone goes down, so none of its agents is left to say who has
    gone.  The others send callers there last, not first.
    """
    monkeypatch.setattr(directory, "LOST_AFTER_S", 1.0)
    monkeypatch.setattr(gossip, "BEAT_MS", 100)
    nodes = start_two_zones(start)
    waiting.until(lambda: summaries_agree(nodes, "ishikari/0", "cde"))
    for node in nodes[2:]:
        node.membership.gossip.stop()
    for node in nodes[2:]:
        node.stop()
    wanted = dict.fromkeys("ab", ALIVE) | dict.fromkeys("cde", SUSPECT)
    waiting.until(
        lambda: all(everyone(node) == wanted for node in nodes[:2]),
        timeout_s=15,
    )


def test_zone_cut_in_parts(start: Start) -> None:
    """Configuration cuts a zone into two cells: each agent heartbeats only
    its own, and still knows all.
    """
    names = "abcdef"
    nodes = [
        start(name, cell_of=cells.by_parts(lambda zone: 2)) for name in names
    ]
    waiting.until(
        lambda: all(set(everyone(node)) == set(names) for node in nodes)
    )
    own_cells = [node.membership.local_member.cell for node in nodes]
    expected = [own_cells.count(cell) - 1 for cell in own_cells]
    assert all(peers < len(names) - 1 for peers in expected)
    # A node may know all by an introduction while it still begins to send
    # heartbeats to its peers.
    waiting.until(
        lambda: (
            [len(node.membership.heartbeat_senders) for node in nodes]
            == expected
        )
    )


def summary(
    cell: str, version: int, *names: str, beat: int = 0
) -> messages.CellSummary:
    abouts = tuple(
        messages.About(name, cell, "127.0.0.1:1", (f"{name}:80",), 1, False)
        for name in names
    )
    stamp = messages.CellStamp(version, beat or version)
    return messages.CellSummary(cell, stamp, abouts)


def test_late_summary_changes_nothing() -> None:
    """An exchange was held up on its way and brings back a member that
    has gone since.
    """
    known = directory.Directory(clocks.ManualClock())
    assert known.apply([summary("x/0", 2, "a")])
    assert not known.apply([summary("x/0", 1, "a", "b")])
    assert [member.name for member in known.members("y/0")] == ["a"]


def test_silent_cell_is_lost_until_its_beat_rises() -> None:
    """A cell is cut off and later heard again with the same members."""
    clock = clocks.ManualClock()
    known = directory.Directory(clock)
    known.apply([summary("x/0", 1, "a")])
    before = known.digest()
    clock.now_s += directory.LOST_AFTER_S + 1
    assert [member.state for member in known.members("y/0")] == [SUSPECT]
    assert known.digest() != before
    known.take_stamps({"x/0": messages.CellStamp(1, 5)})
    assert [member.state for member in known.members("y/0")] == [ALIVE]
    assert known.digest() == before


def test_agent_in_two_summaries_counts_once() -> None:
    """A zone was cut anew: an agent stands in its old cell's last summary
    and in its new cell's.
    """
    clock = clocks.ManualClock()
    known = directory.Directory(clock)
    known.apply([summary("x/0", 1, "a", "b")])
    clock.now_s += directory.LOST_AFTER_S + 1
    known.apply([summary("x/1", 2, "a")])
    members = {member.name: member for member in known.members("y/0")}
    assert members["a"].cell == "x/1"
    assert members["a"].state is ALIVE
    assert members["b"].state is SUSPECT


def test_own_summary_outdoes_one_from_a_faster_clock(start: Start) -> None:
    """All agents of a cell are replaced, and the new ones' clocks are
    behind.  What they write must still replace their forerunners'.
    """
    node = start("a")
    future = 2**60
    node.membership.gossip.stop()
    known = node.membership.gossip.directory
    known.apply([summary("rumoi/0", future, "old")])
    node.membership.gossip.write_own()
    written = known.summary("rumoi/0")
    assert written.stamp.version > future
    assert [about.name for about in written.members] == ["a"]


def test_members_cannot_change_before_their_summary_has_its_version(
    start: Start, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An older view with a later version hides members from other cells."""
    node = start("a")
    node.membership.gossip.stop()
    table = node.membership.gossip.table
    known = node.membership.gossip.directory
    summary_of = known.summary
    could_change = []

    def change_members(cell: str) -> messages.CellSummary | None:
        changing = threading.Thread(
            target=lambda: could_change.append(table.lock.acquire(timeout=0.2))
        )
        changing.start()
        changing.join()
        return summary_of(cell)

    monkeypatch.setattr(known, "summary", change_members)
    node.membership.gossip.write_own()
    assert could_change
    assert not any(could_change)
