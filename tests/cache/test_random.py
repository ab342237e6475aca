"""Seeded runs of many operations and faults, without threads."""

from __future__ import annotations

import dataclasses

import pytest

from briarseam.cache import exporting
from briarseam.cache import index as indexes
from briarseam.cache import names as block_names
from briarseam.cache import state
from briarseam.cache import stores
from briarseam.cache import sweeping
from tests.cache import random_world

OPERATIONS = 600


def whole(self, packed, exported):
    """Take any export for whole, without looking."""
    checksum = bytes.fromhex(exported.checksum)
    return state.Block(
        packed, exported.bytes, checksum, self.store.name, self.store.boot_id
    )


def adopt_all(self, block, time_ms):
    """Adopt whatever is listed."""
    return self.tools.index.add(block, self.tools.clock(), float("inf"))


def one_key(self, organisation, model, adapter, version):
    return self.digest(b"pieces", version.encode(), 32)


def one_version(self, organisation, model, adapter, version):
    return self.digest(b"pieces", organisation.encode(), 32)


def borrow_any(self, blocks, until):
    return len(blocks)


def readable(self, name, boot_id):
    store = self.by_name.get(name)
    return store is not None and store.alive


@dataclasses.dataclass(frozen=True)
class Removal:
    """A guard taken out, and the count that shows it."""

    shown: str
    patches: tuple


INDEX = indexes.BlockIndex
GUARDS = {
    "organisation in the key": Removal(
        "other_organisation", ((block_names.Names, "derive_key", one_key),)
    ),
    "version in the key": Removal(
        "other_version", ((block_names.Names, "derive_key", one_version),)
    ),
    "confirmation of writes": Removal(
        "half_read", ((exporting.Exporter, "confirm", whole),)
    ),
    "size of adopted blocks": Removal(
        "half_read", ((sweeping.Sweeper, "adopt", adopt_all),)
    ),
    "check when reading begins": Removal(
        "freed_read", ((INDEX, "borrow", borrow_any),)
    ),
    "boot of the store": Removal(
        "stale_boot_read",
        (
            (INDEX, "drop_boot", lambda self, store, boot: []),
            (stores.Stores, "readable", readable),
        ),
    ),
}


@pytest.mark.parametrize("agents", [1, 2])
@pytest.mark.parametrize("seed", [1, 2])
def test_nothing_that_must_never_happen_happens(seed, agents):
    """Sessions come and go over halves, wrong bytes, restarts, rollouts
    and full stores.  A caller would see another's text, or wrong tokens.
    """
    never = random_world.World(seed, agents).go(OPERATIONS)

    assert never.broken() == {}
    assert never.imported > 20, never
    assert never.faults > 10, never


def test_two_agents_that_both_own_everything_do_no_harm():
    """The agents disagree on who is alive, and both think they own.

    One deletes what the other still has in its index.  That costs
    recomputation; it must not bring a half, another's or an old block.
    """
    never = random_world.World(4, agents=2, all_own=True).go(OPERATIONS)

    broken = never.broken()
    broken.pop("deleted_under_reader", None)
    assert broken == {}
    assert never.imported > 20, never


def test_an_agent_that_wakes_reads_nothing_that_was_deleted_meanwhile():
    """An agent is frozen between its last look and its order to import.

    The owner frees the blocks, waits for all copies and deletes them.
    The agent wakes long after its bounds and gives its order.
    """
    world = random_world.World(1)
    owner, frozen = world.agents
    session = next(
        name
        for name in map(str, range(9))
        if owner.ports.holders(owner.names.group("crew", name)).mine
    )
    world.chance.random = lambda: 1.0
    world.meanwhile = lambda: None
    world.keep(owner)
    world.keep(frozen)
    world.site.run(owner, "crew", random_world.CHAINS[0], session=session)
    world.export(owner)
    plan = world.site.plan(
        frozen, "crew", random_world.CHAINS[0], session=session
    )
    world.site.forget()

    def sleep():
        for planned in plan.blocks:
            owner.index.free(planned.block, world.now + 20.0)
        world.now += 60.0
        world.keep(owner)

    world.meanwhile = sleep
    done = frozen.import_to(world.site.engine.address, plan)
    world.site.stop()

    assert len(plan.blocks) == 3
    assert (done.pieces, done.failed) == (0, "missing")
    assert world.never.half_read == 0
    assert world.site.stores["keep-a"].reads == []
    assert world.site.stores["keep-b"].reads == []


@pytest.mark.parametrize("removal", GUARDS.values(), ids=GUARDS.keys())
def test_without_its_guard_it_happens(monkeypatch, removal):
    """Each guard is taken out in turn; the same run must then fail.

    A guard whose absence nothing shows is not known to hold anything.
    """
    for patch in removal.patches:
        monkeypatch.setattr(*patch)
    never = random_world.Never()
    for seed in range(1, 13):
        never = random_world.World(seed).go(OPERATIONS)
        if removal.shown in never.broken():
            break

    assert removal.shown in never.broken(), never
