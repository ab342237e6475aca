"""Late answers under load on engines of uneven speed."""

from __future__ import annotations

from tests.prediction import uneven_load

SEEDS = (1, 2)
DURATION_S = 16.0
# By then, instances have learned the speeds.
LEARNED_S = 6.0
# Half of the engines' capacity.
PROMPTS_PER_S = 130.0


def mean_late(predict):
    """Return the mean share of late answers over the seeds."""
    shares = [
        uneven_load.late_share(
            uneven_load.UnevenLoad(seed, predict).run(
                DURATION_S, PROMPTS_PER_S
            ),
            LEARNED_S,
        )
        for seed in SEEDS
    ]
    return sum(shares) / len(shares)


def test_prediction_makes_fewer_answers_late():
    """Guards against comparisons that ignore speeds and running streams.

    Of the answers, 0.197 are late by the first event or by a pause if
    engines are compared by tokens, and 0.142 by predictions.  Seeds 3 to 6
    show decreases by 27 to 53 in 100.  Instances know each other's load at
    once.  With reports every 0.12 s (`reported`), which take too long for
    this test, the shares are 0.251 and 0.225 (30 s, of which 12 s to learn,
    seeds 1 to 4).
    """
    by_tokens = mean_late(predict=False)
    by_prediction = mean_late(predict=True)
    assert by_prediction < 0.8 * by_tokens
