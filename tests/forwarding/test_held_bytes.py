from __future__ import annotations

import pytest

from briarseam.forwarding import held_bytes


def refused(holding, size):
    """Return whether a body of a size is refused."""
    try:
        holding.hold_body(size)
    except held_bytes.OverLimitError:
        return True
    return False


def test_body_over_the_limit_is_refused_and_not_counted():
    held = held_bytes.HeldBytes(100)
    first, second = held_bytes.Holding(held), held_bytes.Holding(held)
    assert not refused(first, 60)
    assert refused(second, 41)
    assert held.total == 60
    assert not refused(second, 40)
    assert held.total == 100


def test_nothing_is_refused_without_a_limit():
    held = held_bytes.HeldBytes()
    for _ in range(3):
        assert not refused(held_bytes.Holding(held), 10**12)


def test_body_larger_than_the_limit_is_accepted_alone():
    """Guards against a request that is refused each time it is repeated."""
    held = held_bytes.HeldBytes(100)
    large = held_bytes.Holding(held)
    assert not refused(large, 150)
    # A chunked body goes on to grow.
    assert not refused(large, 50)
    assert refused(held_bytes.Holding(held), 0)
    large.release()
    assert not refused(held_bytes.Holding(held), 150)


def test_chunked_body_is_refused_when_it_meets_the_limit():
    held = held_bytes.HeldBytes(100)
    other, growing = held_bytes.Holding(held), held_bytes.Holding(held)
    other.hold_body(50)
    assert not refused(growing, 40)
    assert refused(growing, 20)
    assert growing.body_bytes == 40
    other.release()
    assert not refused(growing, 70)


def test_answer_is_held_beyond_the_limit_and_keeps_requests_out():
    held = held_bytes.HeldBytes(100)
    answered, new = held_bytes.Holding(held), held_bytes.Holding(held)
    answered.hold_body(10)
    answered.hold_answer(500)
    assert held.total == 510
    # Even one without a body.
    assert refused(new, 0)
    answered.hold_answer(20)
    assert held.total == 30
    assert not refused(new, 0)


def test_release_returns_all_of_a_request_once():
    """Guards against bytes that stay counted, or are subtracted twice."""
    held = held_bytes.HeldBytes(100)
    holding = held_bytes.Holding(held)
    holding.hold_body(10)
    holding.hold_answer(20)
    holding.release()
    holding.release()
    assert held.total == 0


def test_refusals_are_reported():
    held = held_bytes.HeldBytes(100)
    reported = []
    held.on_refused = lambda: reported.append(1)
    held_bytes.Holding(held).hold_body(100)
    assert refused(held_bytes.Holding(held), 1)
    assert len(reported) == 1


@pytest.mark.parametrize(
    ("configured", "memory_mb", "expected"),
    [(0, 0, 0), (0, 512, 128_000_000), (1000, 512, 1000), (1000, 0, 1000)],
)
def test_limit_is_a_quarter_of_the_memory_unless_set(
    configured, memory_mb, expected
):
    assert held_bytes.limit_of(configured, memory_mb) == expected
