"""Answers to other agents, without a network or threads."""

from __future__ import annotations

import dataclasses

import pytest

from briarseam.membership import answering
from briarseam.membership import cells
from briarseam.membership import messages
from briarseam.membership import sections
from briarseam.membership import state
from briarseam.membership import table as tables
from briarseam.wire import connection as connections
from tests import clocks

SUSPECT_AFTER_S = 3.0
DIGEST = 17
ME = messages.About("a", "rumoi", "127.0.0.1:1", (), 5, False)
PEER = messages.About("b", "rumoi", "127.0.0.1:2", (), 9, False)
PEER_IDENTITY = connections.Identity("agent", "b")


@dataclasses.dataclass
class Site:
    """Answering, and what it was seen to do."""

    answering: answering.Answering
    table: tables.Table
    clock: clocks.ManualClock
    consumed: list[tuple[str, bytes]]
    reviews: list[float]


@pytest.fixture
def site() -> Site:
    clock = clocks.ManualClock()
    me = state.LocalAgent(ME.name, ME.zone, ME.address, ME.entries)
    table = tables.Table(me, cells.whole_zone, SUSPECT_AFTER_S, clock)
    consumed: list[tuple[str, bytes]] = []
    carried = sections.Sections(1.0, clock)
    carried.add(
        sections.Section(
            "loads",
            lambda: b"",
            lambda member, data: consumed.append((member, data)),
        )
    )
    reviews: list[float] = []
    parts = answering.AnsweringParts(
        table=table,
        sections=carried,
        about=lambda: ME,
        digest=lambda: DIGEST,
        review=lambda: reviews.append(clock()),
    )
    return Site(answering.Answering(parts), table, clock, consumed, reviews)


def introduce(
    site: Site, about: messages.About = PEER
) -> messages.Introduced | messages.Superseded:
    beat = messages.Introduction(about, 0, {"loads": b"busy"})
    return site.answering.on_introduction(PEER_IDENTITY, beat)


def beat(site: Site, incarnation: int, **content: bytes) -> object:
    sent = messages.Heartbeat(incarnation, 0, content)
    return site.answering.on_heartbeat(PEER_IDENTITY, sent)


def test_introduced_peer_counts_at_once(site):
    """An agent has just started.  Callers are told its address by all who
    heard it, before their next look at the table.
    """
    assert introduce(site) == messages.Introduced(ME, DIGEST)
    assert site.reviews
    assert site.consumed == [("b", b"busy")]
    assert site.table.records["b"].incarnation == PEER.incarnation


def test_heartbeat_of_a_start_that_was_not_introduced_is_not_counted(site):
    """An instance was replaced under its name.  The new start's heartbeat
    must not keep alive what the old one said of itself.
    """
    introduce(site)
    site.clock.now_s += 1
    assert beat(site, PEER.incarnation + 1) == messages.UnknownAgent()
    assert site.table.records["b"].silent_s(site.clock()) == 1


def test_heartbeat_moves_on_when_a_peer_was_heard(site):
    introduce(site)
    site.clock.now_s += 1
    alive = beat(site, PEER.incarnation, loads=b"idle")
    assert alive == messages.Alive(ME.incarnation, DIGEST)
    assert site.table.records["b"].silent_s(site.clock()) == 0
    assert site.consumed[-1] == ("b", b"idle")


@pytest.mark.parametrize(
    ("incarnation", "answer"),
    [
        pytest.param(4, messages.Superseded(), id="earlier"),
        pytest.param(6, messages.Introduced(ME, DIGEST), id="later"),
    ],
)
def test_of_two_starts_of_this_instance_the_later_goes_on(
    site, incarnation, answer
):
    """A frozen process wakes after its replacement came up and introduces
    itself to it.  It must stop answering for the instance.
    """
    other = dataclasses.replace(ME, incarnation=incarnation)
    assert introduce(site, other) == answer


def test_earlier_start_of_a_peer_is_told_so_while_the_later_is_heard(site):
    introduce(site)
    earlier = dataclasses.replace(PEER, incarnation=PEER.incarnation - 1)
    assert introduce(site, earlier) == messages.Superseded()
    site.clock.now_s += SUSPECT_AFTER_S
    assert introduce(site, earlier) == messages.Introduced(ME, DIGEST)
