from __future__ import annotations

from briarseam.lookup import rank

WEAK = [f"weak-{number}" for number in range(36)]
STRONG = [f"strong-{number}" for number in range(3)]


def weight_of(name):
    return 4.0 if name in STRONG else 1.0


def test_strongest_instances_rank_first():
    """All instances restart at once without any state.

    If weak instances, with a fifth of the processor and a tenth of the link
    of the strongest, read the stores for forty others, sending the contents
    to all of them delays their heartbeats.  They are taken for gone, and
    other instances take over and send everything again.
    """
    names = [*WEAK, *STRONG]
    for number in range(50):
        ranking = rank.strongest(f"duty-{number}", names, weight_of)
        assert set(ranking[:3]) == set(STRONG)


def test_order_of_equals_depends_on_the_duty_but_not_on_the_input_order():
    rankings = [rank.strongest("duty", STRONG, weight_of)]
    rankings.append(rank.strongest("duty", reversed(STRONG), weight_of))
    assert rankings[0] == rankings[1]
    firsts = {
        rank.strongest(f"duty-{number}", STRONG, weight_of)[0]
        for number in range(30)
    }
    assert firsts == set(STRONG)


def test_order_of_others_stays_when_one_leaves():
    ranking = rank.strongest("duty", [*WEAK, *STRONG], weight_of)
    remaining = rank.strongest("duty", ranking[1:], weight_of)
    assert remaining == ranking[1:]
