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


def states_of(node: helpers.Node) -> dict[str, state.MemberState]:
    """Return the states of all members that a node knows, by name."""
    return {
        member.name: member.state for member in node.membership.all_members()
    }


def start_two_zones(start: Start) -> list[helpers.Node]:
    """Start two agents in one zone and three in another; wait for all."""
    nodes = [start(name, "rumoi") for name in ("a", "b")]
    nodes += [start(name, "ishikari") for name in ("c", "d", "e")]
    expected = dict.fromkeys("abcde", ALIVE)
    waiting.until(lambda: all(states_of(node) == expected for node in nodes))
    return nodes


def summaries_agree(
    nodes: list[helpers.Node], cell: str, members: str
) -> bool:
    """Tell whether all contacts have the same summary, with these members.

    Until then a contact of the cell may still replace the summary.
    """
    directories = [
        node.membership.gossip.directory
        for node in nodes
        if node.membership.gossip.directory.is_contact
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


def test_members_of_other_cells_are_known(start: Start) -> None:
    """Agents exchange heartbeats only within their cell, but a lookup in one
    zone must also return the entries of the others.
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
    """Agents of other zones learn that an agent is leaving, so that their
    lookups no longer return it.
    """
    nodes = start_two_zones(start)
    nodes[2].membership.announce_leaving()
    departed = (None, state.MemberState.LEAVING)
    waiting.until(
        lambda: all(states_of(node).get("c") in departed for node in nodes)
    )


def test_dead_zone_becomes_suspect(
    start: Start, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If a whole zone fails, none of its agents is left to update its summary.
    Its members must become suspect, so that lookups return them last.
    """
    monkeypatch.setattr(directory, "LOST_AFTER_S", 1.0)
    monkeypatch.setattr(gossip, "BEAT_INTERVAL_MS", 100)
    nodes = start_two_zones(start)
    waiting.until(lambda: summaries_agree(nodes, "ishikari/0", "cde"))
    for node in nodes[2:]:
        node.membership.gossip.stop()
    for node in nodes[2:]:
        node.stop()
    expected = dict.fromkeys("ab", ALIVE) | dict.fromkeys("cde", SUSPECT)
    waiting.until(
        lambda: all(states_of(node) == expected for node in nodes[:2]),
        timeout_s=15,
    )


def test_zone_split_into_cells_keeps_all_members(start: Start) -> None:
    """If a zone is divided into two cells, each agent sends heartbeats only
    to peers in its own cell, and still knows all members.
    """
    names = "abcdef"
    nodes = [
        start(name, cell_of=cells.by_parts(lambda zone: 2)) for name in names
    ]
    waiting.until(
        lambda: all(set(states_of(node)) == set(names) for node in nodes)
    )
    own_cells = [node.membership.local_member.cell for node in nodes]
    expected = [own_cells.count(cell) - 1 for cell in own_cells]
    assert all(peers < len(names) - 1 for peers in expected)
    # A node may know all members from introductions before it has started
    # all heartbeats of its own.
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


def test_outdated_summary_is_ignored() -> None:
    """A delayed exchange must not restore a member that is gone."""
    summaries = directory.Directory(clocks.ManualClock())
    assert summaries.apply([summary("x/0", 2, "a")])
    assert not summaries.apply([summary("x/0", 1, "a", "b")])
    assert [member.name for member in summaries.members("y/0")] == ["a"]


def test_cell_is_lost_until_its_beat_advances() -> None:
    """A cell is unreachable for a while and then has the same members."""
    clock = clocks.ManualClock()
    summaries = directory.Directory(clock)
    summaries.apply([summary("x/0", 1, "a")])
    before = summaries.digest()
    clock.now_s += directory.LOST_AFTER_S + 1
    assert [member.state for member in summaries.members("y/0")] == [SUSPECT]
    assert summaries.digest() != before
    summaries.apply_stamps({"x/0": messages.CellStamp(1, 5)})
    assert [member.state for member in summaries.members("y/0")] == [ALIVE]
    assert summaries.digest() == before


def test_agent_in_two_summaries_is_listed_once() -> None:
    """After a zone was divided into other cells, an agent is in the last
    summary of its former cell and in that of its new cell.
    """
    clock = clocks.ManualClock()
    summaries = directory.Directory(clock)
    summaries.apply([summary("x/0", 1, "a", "b")])
    clock.now_s += directory.LOST_AFTER_S + 1
    summaries.apply([summary("x/1", 2, "a")])
    members = {member.name: member for member in summaries.members("y/0")}
    assert members["a"].cell == "x/1"
    assert members["a"].state is ALIVE
    assert members["b"].state is SUSPECT


def test_own_summary_supersedes_version_from_faster_clock(
    start: Start,
) -> None:
    """All agents of a cell are replaced, and the clocks of the new ones are
    behind.  Their summary must still replace the former one.
    """
    node = start("a")
    future = 2**60
    node.membership.gossip.stop()
    summaries = node.membership.gossip.directory
    summaries.apply([summary("rumoi/0", future, "old")])
    node.membership.gossip.update_own_summary()
    written = summaries.summary("rumoi/0")
    assert written.stamp.version > future
    assert [about.name for about in written.members] == ["a"]


def test_members_are_locked_while_summary_gets_its_version(
    start: Start, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An older view with a later version would hide members from other cells,
    so the members must not change before the summary has its version.
    """
    node = start("a")
    node.membership.gossip.stop()
    table = node.membership.gossip.table
    summaries = node.membership.gossip.directory
    original = summaries.summary
    lock_acquired = []

    def try_to_change_members(cell: str) -> messages.CellSummary | None:
        changing = threading.Thread(
            target=lambda: lock_acquired.append(
                table.lock.acquire(timeout=0.2)
            )
        )
        changing.start()
        changing.join()
        return original(cell)

    monkeypatch.setattr(summaries, "summary", try_to_change_members)
    node.membership.gossip.update_own_summary()
    assert lock_acquired
    assert not any(lock_acquired)
