from __future__ import annotations

import pytest

from briarseam.membership import sections


class Clock:
    def __call__(self):
        return 0.0


@pytest.fixture
def sections_with_failing_one():
    """Two sections, the first of which fails to encode and to decode."""
    consumed = []

    def fail(*_args):
        raise OverflowError("a number beyond 64 bits")

    made = sections.Sections(1.0, Clock())
    made.add(sections.Section("bad", fail, fail))
    made.add(
        sections.Section(
            "good", lambda: b"1", lambda member, data: consumed.append(data)
        )
    )
    made.consumed = consumed
    return made


def test_undecodable_section_does_not_hide_others(sections_with_failing_one):
    sections_with_failing_one.consume("peer", {"bad": b"\xff", "good": b"2"})
    assert sections_with_failing_one.consumed == [b"2"]


def test_failing_section_is_left_out_of_heartbeat(sections_with_failing_one):
    """An engine may report a number that is out of range for messages.

    Without the guard the error ends the heartbeats, and all peers consider
    this instance dead.
    """
    assert sections_with_failing_one.content() == {"good": b"1"}
