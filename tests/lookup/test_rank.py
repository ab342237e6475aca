from __future__ import annotations

from briarseam.lookup import rank

WEAK = [f"weak-{number}" for number in range(36)]
STRONG = [f"strong-{number}" for number in range(3)]


def weight_of(name):
    return 4.0 if name in STRONG else 1.0


def test_duty_for_many_falls_to_the_strongest():
    """All instances lose power at once, and come back knowing nothing.

    Two of the three that read stores for forty others had a fifth of the
    processor and a tenth of the link of the strongest.  Telling everybody
    all that stores keep, they were late with their heartbeats and taken for
    gone; others began to read, and told everything again.
    """
    names = [*WEAK, *STRONG]
    for number in range(50):
        found = rank.strongest(f"duty-{number}", names, weight_of)
        assert set(found[:3]) == set(STRONG)


def test_equals_are_ordered_by_duty_and_alike_everywhere():
    found = [rank.strongest("duty", STRONG, weight_of)]
    found.append(rank.strongest("duty", reversed(STRONG), weight_of))
    assert found[0] == found[1]
    firsts = {
        rank.strongest(f"duty-{number}", STRONG, weight_of)[0]
        for number in range(30)
    }
    assert firsts == set(STRONG)


def test_order_of_the_others_stays_when_one_leaves():
    found = rank.strongest("duty", [*WEAK, *STRONG], weight_of)
    left = rank.strongest("duty", found[1:], weight_of)
    assert left == found[1:]
