"""Handlers of other agents' messages, without network or threads."""

from __future__ import annotations

import dataclasses

import pytest

from briarseam.membership import cells
from briarseam.membership import handlers
from briarseam.membership import messages
from briarseam.membership import sections
from briarseam.membership import state
from briarseam.membership import table as tables
from briarseam.wire import connection as connections
from tests import clocks

SUSPECT_AFTER_S = 3.0
DIGEST = 17
LOCAL = messages.About("a", "rumoi", "127.0.0.1:1", (), 5, False)
PEER = messages.About("b", "rumoi", "127.0.0.1:2", (), 9, False)
PEER_IDENTITY = connections.Identity("agent", "b")


@dataclasses.dataclass
class Fixture:
    """The handlers, and what they called."""

    handlers: handlers.MessageHandlers
    table: tables.Table
    clock: clocks.ManualClock
    consumed: list[tuple[str, bytes]]
    reviews: list[float]


@pytest.fixture
def fixture() -> Fixture:
    clock = clocks.ManualClock()
    local_agent = state.LocalAgent(
        LOCAL.name, LOCAL.zone, LOCAL.address, LOCAL.entries
    )
    table = tables.Table(local_agent, cells.whole_zone, SUSPECT_AFTER_S, clock)
    consumed: list[tuple[str, bytes]] = []
    heartbeat_sections = sections.Sections(1.0, clock)
    heartbeat_sections.add(
        sections.Section(
            "loads",
            lambda: b"",
            lambda member, data: consumed.append((member, data)),
        )
    )
    reviews: list[float] = []
    parts = handlers.HandlerParts(
        table=table,
        sections=heartbeat_sections,
        about=lambda: LOCAL,
        digest=lambda: DIGEST,
        review=lambda: reviews.append(clock()),
    )
    return Fixture(
        handlers.MessageHandlers(parts), table, clock, consumed, reviews
    )


def introduce(
    fixture: Fixture, about: messages.About = PEER
) -> messages.Introduced | messages.Superseded:
    introduction = messages.Introduction(about, 0, {"loads": b"busy"})
    return fixture.handlers.on_introduction(PEER_IDENTITY, introduction)


def send_heartbeat(
    fixture: Fixture, incarnation: int, **content: bytes
) -> object:
    heartbeat = messages.Heartbeat(incarnation, 0, content)
    return fixture.handlers.on_heartbeat(PEER_IDENTITY, heartbeat)


def test_introduced_peer_is_reviewed_at_once(fixture):
    """A peer that has just started must be live at once, not only after the
    next periodic review.
    """
    assert introduce(fixture) == messages.Introduced(LOCAL, DIGEST)
    assert fixture.reviews
    assert fixture.consumed == [("b", b"busy")]
    assert fixture.table.records["b"].incarnation == PEER.incarnation


def test_heartbeat_of_unknown_incarnation_is_not_counted(fixture):
    """An instance is replaced under its name.  Heartbeats of the new
    incarnation must not keep the description of the former one valid.
    """
    introduce(fixture)
    fixture.clock.now_s += 1
    assert (
        send_heartbeat(fixture, PEER.incarnation + 1)
        == messages.UnknownAgent()
    )
    assert fixture.table.records["b"].silent_s(fixture.clock()) == 1


def test_heartbeat_updates_last_contact(fixture):
    introduce(fixture)
    fixture.clock.now_s += 1
    alive = send_heartbeat(fixture, PEER.incarnation, loads=b"idle")
    assert alive == messages.Alive(LOCAL.incarnation, DIGEST)
    assert fixture.table.records["b"].silent_s(fixture.clock()) == 0
    assert fixture.consumed[-1] == ("b", b"idle")


@pytest.mark.parametrize(
    ("incarnation", "answer"),
    [
        pytest.param(4, messages.Superseded(), id="earlier"),
        pytest.param(6, messages.Introduced(LOCAL, DIGEST), id="later"),
    ],
)
def test_later_incarnation_of_own_name_wins(fixture, incarnation, answer):
    """A suspended process resumes after its replacement has started and
    sends an introduction to it.  Only the later incarnation may go on.
    """
    other = dataclasses.replace(LOCAL, incarnation=incarnation)
    assert introduce(fixture, other) == answer


def test_earlier_incarnation_is_superseded_while_later_is_live(fixture):
    introduce(fixture)
    earlier = dataclasses.replace(PEER, incarnation=PEER.incarnation - 1)
    assert introduce(fixture, earlier) == messages.Superseded()
    fixture.clock.now_s += SUSPECT_AFTER_S
    assert introduce(fixture, earlier) == messages.Introduced(LOCAL, DIGEST)
