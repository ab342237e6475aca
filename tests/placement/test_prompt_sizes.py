"""Who is served by the size of prompts, when engines are short of memory."""

from __future__ import annotations

import dataclasses

import pytest

from tests.placement import playing
from tests.placement import prompt_kinds

LENGTH_S = 16.0
SEEDS = (1, 2, 3)
LARGE_MEMORY_TOKENS = 213_000
# Of a kind of request, its largest prompts.
LARGEST = 0.1
LARGE = 0.3
WAITING = playing.Policy(hold_s=0.2)
DRAFTS = dataclasses.replace(prompt_kinds.LONG, stream_s=4.0, spread=0.6)
QUESTIONS = dataclasses.replace(prompt_kinds.SHORT, spread=0.6)


def play(seed, overload, memory_tokens):
    """Return what callers of long prompts got, the largest prompts first."""
    drafts = dataclasses.replace(DRAFTS, per_s=DRAFTS.per_s * overload)
    made = playing.Play(
        seed, WAITING, kept=True, memory_tokens=memory_tokens
    ).run(LENGTH_S, (drafts, QUESTIONS))
    return sorted(
        (result for result in made if result.kind is drafts),
        key=lambda result: -result.tokens,
    )


def served_share(results):
    """Return the share of prompts that were sent to an engine."""
    return sum(result.first_s is not None for result in results) / len(results)


@pytest.mark.parametrize(
    ("overload", "memory_tokens"),
    [(2.5, playing.MEMORY_TOKENS), (6.0, LARGE_MEMORY_TOKENS)],
    ids=["small-engines", "large-engines"],
)
def test_largest_prompts_are_not_starved_by_smaller_ones(
    overload, memory_tokens
):
    """Guards against judging room by each prompt's own size."""
    for seed in SEEDS:
        results = play(seed, overload, memory_tokens)
        largest = round(len(results) * LARGEST)
        large = round(len(results) * LARGE)
        share = served_share(results)
        assert share < 0.9, "the load is to be more than engines can hold"
        assert served_share(results[:largest]) >= share / 2
        assert served_share(results[largest:large]) >= share / 2
