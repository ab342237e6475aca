from __future__ import annotations

import dataclasses

import pytest

from briarseam.timeline import clock as clocks
from briarseam.timeline import event as events
from briarseam.timeline import merge
from briarseam.timeline import messages
from briarseam.timeline import ring as rings
from briarseam.wire import codec


def part_of(*found, **options):
    return messages.Events(tuple(found), (), **options)


def test_cause_stands_before_effect_though_wall_clocks_disagree():
    # An entry's wall clock is 3 s ahead of its agent's.  By wall time the
    # agent's grant would stand 3 s before the request for it.
    now = 1_700_000_000_000_000_000
    entry = rings.Ring(
        "entry", clock=clocks.HybridClock(lambda: now + 3 * 10**9)
    )
    agent = rings.Ring("agent", clock=clocks.HybridClock(lambda: now))
    entry.note("accepted")
    agent.clock.observe(entry.clock.now())
    agent.note("granted")
    entry.clock.observe(agent.clock.now())
    entry.note("first-token")
    merged = merge.merge(
        [part_of(*entry.since()), part_of(*agent.since())], 100
    )
    kinds = [event.kind for event in merged.events]
    assert kinds == ["accepted", "granted", "first-token"]


def test_an_event_that_came_twice_stands_once():
    # An entry's events arrive through two ways of asking.
    ring = rings.Ring("p")
    ring.note("a")
    ring.note("b")
    merged = merge.merge([part_of(*ring.since()), part_of(*ring.since())], 9)
    assert merged.events == ring.since()


def test_order_is_the_same_for_every_reader():
    # Two unrelated events got the same stamp; two operators compare their
    # screens.
    one = events.Event(5, "b", "x")
    other = events.Event(5, "a", "y")
    there = merge.merge([part_of(one), part_of(other)], 9).events
    back = merge.merge([part_of(other), part_of(one)], 9).events
    assert there == back == (other, one)


def test_newest_are_kept_and_the_rest_is_told():
    # More happened than the operator asked to see.
    ring = rings.Ring("p")
    for number in range(10):
        ring.note("tick", number=number)
    merged = merge.merge([part_of(*ring.since(), cut=2)], 3)
    assert [event.fields["number"] for event in merged.events] == [7, 8, 9]
    assert merged.cut == 9


@pytest.mark.parametrize(
    "letter", [pytest.param("x", id="ascii"), pytest.param("é", id="wide")]
)
def test_reply_always_fits_a_frame(letter):
    # Busy processes with long ids answer at once.  A reply above the cap
    # could not be sent, and the operator would see nothing at all.
    word = letter * rings.MAX_WORD
    event = events.Event(
        1, word, word, word, word, word, word, {word: word, "n": 2**62}
    )
    many = [dataclasses.replace(event, clock=2**63 + n) for n in range(5000)]
    merged = merge.merge([part_of(*many)], 5000)
    assert 0 < len(merged.events) < 5000
    assert merged.cut == 5000 - len(merged.events)
    assert len(codec.encode(merged)) < merge.MAX_REPLY_BYTES + 1000
