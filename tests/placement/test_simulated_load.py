"""What callers get under load, by the real decisions on modelled engines."""

from __future__ import annotations

import dataclasses

from briarseam.placement import fetching
from tests.placement import playing
from tests.placement import prompt_kinds

KINDS = (prompt_kinds.LONG, prompt_kinds.SHORT)
SEEDS = (1, 2)
LENGTH_S = 16.0
SLOW_S = (8.0, 13.0)


def late_share(results, kind=None, from_s=0.0, to_s=LENGTH_S):
    """Return the share of prompts that were late or refused."""
    chosen = [
        result
        for result in results
        if kind in (None, result.kind) and from_s <= result.at_s < to_s
    ]
    return sum(not result.in_time for result in chosen) / len(chosen)


def mean_late(policy, kept, slow_s=(0.0, 0.0), **part):
    """Return the mean share of late prompts over the seeds."""
    shares = [
        late_share(
            playing.Play(seed, policy, kept, slow_s).run(LENGTH_S, KINDS),
            **part,
        )
        for seed in SEEDS
    ]
    return sum(shares) / len(shares)


def test_few_prompts_wait_behind_work_that_was_not_known():
    """Nothing is kept yet, so that all prompts are read.  Short ones are sent
    to engines that seem idle and wait behind a long one that another instance
    sent there 0.2 s before.

    Told by heartbeats, twice a second, 0.042 of all prompts were late, and
    0.044 of the short ones; told at once, 0.004.
    """
    by_heartbeats = playing.Policy(told_after_s=0.5, at_once=False)
    assert mean_late(by_heartbeats, kept=False) > 0.03
    assert mean_late(playing.Policy(), kept=False) < 0.01
    assert (
        mean_late(playing.Policy(), kept=False, kind=prompt_kinds.SHORT) < 0.01
    )


def test_a_slow_store_makes_few_prompts_late(monkeypatch):
    """A store's link takes four times as long for five seconds.  The queue
    before it holds up all transfers of all engines, and every caller waits.

    Of the prompts sent in these seconds and the one after 0.96 were late, as
    every one went on fetching from it; 0.62 are.
    """
    part = {"from_s": SLOW_S[0], "to_s": SLOW_S[1] + 1.0}
    left_alone = mean_late(playing.Policy(), True, SLOW_S, **part)
    monkeypatch.setattr(fetching, "LATE_LIMIT", 10**6)
    used = mean_late(playing.Policy(), True, SLOW_S, **part)
    assert used > 0.9
    assert left_alone < 0.7


def test_stores_that_are_well_are_used():
    """A store that is left alone by mistake has its parts read again."""
    for seed in SEEDS:
        play = playing.Play(seed, playing.Policy(), kept=True)
        results = play.run(LENGTH_S, KINDS)
        assert late_share(results) < 0.06
        assert play.fetches > 0.95 * play.prompts


def test_prompts_beyond_what_engines_bear_are_refused_at_once():
    """Twice as many callers come as the engines can serve.

    Nobody is queued behind what can't be read before the deadline: who is
    taken gets the first event within seconds, the others are told at once.
    """
    heavy = dataclasses.replace(prompt_kinds.LONG, per_s=60.0)
    results = playing.Play(1, playing.Policy(), False).run(LENGTH_S, (heavy,))
    taken = [result for result in results if result.first_s is not None]
    refused = len(results) - len(taken)
    assert 0.1 < refused / len(results) < 0.7
    assert max(result.first_s for result in taken) < heavy.deadline_s
