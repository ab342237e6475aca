from __future__ import annotations

import collections

from briarseam.admission import owners


def make_ring(count: int) -> owners.HashRing:
    return owners.HashRing(
        {
            f"instance-{number}": owners.Agent(
                f"instance-{number}", f"address-{number}"
            )
            for number in range(count)
        }
    )


KEYS = [f"prompt-{number}" for number in range(2000)]


def test_prompts_are_distributed_over_agents():
    counts = collections.Counter(
        make_ring(8).owners_of(key, 1)[0].name for key in KEYS
    )
    assert len(counts) == 8
    assert max(counts.values()) < 3 * len(KEYS) / 8


def test_removing_an_agent_moves_only_its_prompts():
    """Otherwise replacing one instance would lose the state of all prompts
    in flight.
    """
    before, after = make_ring(8), make_ring(7)
    for key in KEYS:
        old = before.owners_of(key, 1)[0]
        if old.name != "instance-7":
            assert after.owners_of(key, 1)[0] == old


def test_owners_are_distinct_and_limited_to_the_agents():
    owning = make_ring(5).owners_of("key", 3)
    assert len({agent.name for agent in owning}) == 3
    assert len(make_ring(2).owners_of("key", 3)) == 2
