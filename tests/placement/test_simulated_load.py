"""Latency and refusals under simulated load."""

from __future__ import annotations

import dataclasses

from briarseam.placement import fetching
from tests.placement import prompt_kinds
from tests.placement import simulation

KINDS = (prompt_kinds.LONG, prompt_kinds.SHORT)
SEEDS = (1, 2)
DURATION_S = 16.0
SLOW_S = (8.0, 13.0)


def late_share(results, kind=None, from_s=0.0, to_s=DURATION_S):
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
            simulation.Simulation(seed, policy, kept, slow_s).run(
                DURATION_S, KINDS
            ),
            **part,
        )
        for seed in SEEDS
    ]
    return sum(shares) / len(shares)


def test_immediate_reports_prevent_waits_behind_unknown_load():
    """Guards against prompts sent to an engine that only seems idle.

    Stores keep no parts, so all prompts are prefilled.  Short ones wait
    behind a long one that another instance sent to the same engine 0.2 s
    before.  With two reports a second, 0.042 of all prompts are late and
    0.044 of the short ones; with immediate reports, 0.004.
    """
    by_heartbeats = simulation.Policy(delay_s=0.5, immediate=False)
    assert mean_late(by_heartbeats, kept=False) > 0.03
    assert mean_late(simulation.Policy(), kept=False) < 0.01
    assert (
        mean_late(simulation.Policy(), kept=False, kind=prompt_kinds.SHORT)
        < 0.01
    )


def test_avoiding_a_slow_store_makes_fewer_prompts_late(monkeypatch):
    """Guards against a slow store that delays every prompt.

    A store is four times slower for five seconds, and its queue delays the
    transfers of all engines.  Of the prompts that arrive in this time and
    the next second, 0.96 are late if all keep fetching from it, and 0.62
    if it is avoided.
    """
    part = {"from_s": SLOW_S[0], "to_s": SLOW_S[1] + 1.0}
    avoided = mean_late(simulation.Policy(), True, SLOW_S, **part)
    monkeypatch.setattr(fetching, "LATE_LIMIT", 10**6)
    used = mean_late(simulation.Policy(), True, SLOW_S, **part)
    assert used > 0.9
    assert avoided < 0.7


def test_healthy_stores_are_used():
    """Guards against avoiding a healthy store.

    Its parts would be prefilled again.
    """
    for seed in SEEDS:
        simulated = simulation.Simulation(seed, simulation.Policy(), kept=True)
        results = simulated.run(DURATION_S, KINDS)
        assert late_share(results) < 0.06
        assert simulated.fetches > 0.95 * simulated.prompts


def test_overload_is_refused_instead_of_queued():
    """Guards against queues that outlast the callers' deadline.

    Twice as many prompts arrive as the engines can serve.  Accepted ones get
    their first event before the deadline, the others are refused at once.
    """
    heavy = dataclasses.replace(prompt_kinds.LONG, per_s=60.0)
    results = simulation.Simulation(1, simulation.Policy(), False).run(
        DURATION_S, (heavy,)
    )
    accepted = [result for result in results if result.first_s is not None]
    refused = len(results) - len(accepted)
    assert 0.1 < refused / len(results) < 0.7
    assert max(result.first_s for result in accepted) < heavy.deadline_s
