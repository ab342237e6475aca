"""Share of served prompts by size while engines are short of memory."""

from __future__ import annotations

import dataclasses

import pytest

from tests.placement import prompt_kinds
from tests.placement import simulation

DURATION_S = 16.0
SEEDS = (1, 2, 3)
LARGE_MEMORY_TOKENS = 213_000
# Shares of a kind's prompts, the largest first.
LARGEST_SHARE = 0.1
LARGE_SHARE = 0.3
WAITING = simulation.Policy(max_wait_s=0.2)
DRAFTS = dataclasses.replace(prompt_kinds.LONG, stream_s=4.0, spread=0.6)
QUESTIONS = dataclasses.replace(prompt_kinds.SHORT, spread=0.6)


def simulate(seed, overload, memory_tokens):
    """Return the results of long prompts, the largest first."""
    drafts = dataclasses.replace(DRAFTS, per_s=DRAFTS.per_s * overload)
    results = simulation.Simulation(
        seed, WAITING, kept=True, memory_tokens=memory_tokens
    ).run(DURATION_S, (drafts, QUESTIONS))
    return sorted(
        (result for result in results if result.kind is drafts),
        key=lambda result: -result.tokens,
    )


def served_share(results):
    """Return the share of prompts that were sent to an engine."""
    return sum(result.first_s is not None for result in results) / len(results)


@pytest.mark.parametrize(
    ("overload", "memory_tokens"),
    [(2.5, simulation.MEMORY_TOKENS), (6.0, LARGE_MEMORY_TOKENS)],
    ids=["small-engines", "large-engines"],
)
def test_largest_prompts_are_not_starved_by_smaller_ones(
    overload, memory_tokens
):
    """Guards against comparing free memory to each prompt's own size.

    Smaller prompts would take freed memory before a large one fits.
    """
    for seed in SEEDS:
        results = simulate(seed, overload, memory_tokens)
        largest = round(len(results) * LARGEST_SHARE)
        large = round(len(results) * LARGE_SHARE)
        share = served_share(results)
        assert share < 0.9, "the load must exceed the engines' memory"
        assert served_share(results[:largest]) >= share / 2
        assert served_share(results[largest:large]) >= share / 2
