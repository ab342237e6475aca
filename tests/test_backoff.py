from __future__ import annotations

from briarseam import backoff


def test_pauses_double_up_to_the_longest_and_begin_anew():
    pauses = backoff.Backoff(0.25, 0.8)
    assert [pauses.next_s() for _ in range(4)] == [0.25, 0.5, 0.8, 0.8]
    pauses.reset()
    assert pauses.next_s() == 0.25


def test_jitter_keeps_pauses_apart_and_does_not_add_up():
    pauses = backoff.Backoff(1.0, 1.0, jitter=0.3)
    found = [pauses.next_s() for _ in range(100)]
    assert len(set(found)) > 1
    assert all(0.7 <= pause_s <= 1.3 for pause_s in found)
