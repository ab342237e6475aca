from __future__ import annotations

import collections

from briarseam.admission import owners


def ring(count: int) -> owners.HashRing:
    return owners.HashRing(
        {
            f"instance-{number}": owners.Agent(
                f"instance-{number}", f"address-{number}"
            )
            for number in range(count)
        }
    )


KEYS = [f"prompt-{number}" for number in range(2000)]


def test_agents_share_the_prompts():
    owned = collections.Counter(
        ring(8).owners_of(key, 1)[0].name for key in KEYS
    )
    assert len(owned) == 8
    assert max(owned.values()) < 3 * len(KEYS) / 8


def test_only_prompts_of_an_agent_that_went_move():
    """One replaced instance makes all prompts in flight forgotten."""
    before, after = ring(8), ring(7)
    for key in KEYS:
        old = before.owners_of(key, 1)[0]
        if old.name != "instance-7":
            assert after.owners_of(key, 1)[0] == old


def test_others_follow_the_first():
    found = ring(5).owners_of("key", 3)
    assert len({agent.name for agent in found}) == 3
    assert len(ring(2).owners_of("key", 3)) == 2
