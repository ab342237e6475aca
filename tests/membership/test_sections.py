from __future__ import annotations

import pytest

from briarseam.membership import sections


class Clock:
    def __call__(self):
        return 0.0


@pytest.fixture
def both():
    """Two sections, the first of which can neither be made nor read."""
    taken = []

    def fail(*_args):
        raise OverflowError("a number beyond 64 bits")

    made = sections.Sections(1.0, Clock())
    made.add(sections.Section("bad", fail, fail))
    made.add(
        sections.Section(
            "good", lambda: b"1", lambda member, data: taken.append(data)
        )
    )
    made.taken = taken
    return made


def test_section_that_cannot_be_read_does_not_hide_the_others(both):
    both.consume("peer", {"bad": b"\xff", "good": b"2"})
    assert both.taken == [b"2"]


def test_section_that_cannot_be_made_does_not_end_the_heartbeats(both):
    """An engine tells a number that no message can carry.

    The thread that sends heartbeats to a peer ended at it, and one
    instance after the other took this one for dead.
    """
    assert both.content() == {"good": b"1"}
