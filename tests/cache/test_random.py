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
from tests.cache import simulation

OPERATIONS = 600


def confirm_without_checking(self, packed, exported):
    """Take any export for whole, without looking."""
    checksum = bytes.fromhex(exported.checksum)
    return state.Block(
        packed, exported.bytes, checksum, self.store.name, self.store.boot_id
    )


def adopt_without_checking(self, block, time_ms):
    """Adopt whatever is listed."""
    return self.context.index.add(block, self.context.clock(), float("inf"))


def key_without_organisation(self, organisation, model, adapter, version):
    return self.keyed_hash(b"pieces", version.encode(), 32)


def key_without_version(self, organisation, model, adapter, version):
    return self.keyed_hash(b"pieces", organisation.encode(), 32)


def pin_without_checking(self, blocks, until):
    return len(blocks)


def readable_without_boot_check(self, name, boot_id):
    store = self.by_name.get(name)
    return store is not None and store.alive


@dataclasses.dataclass(frozen=True)
class DisabledGuard:
    """A guard taken out, and the count that shows it."""

    violation: str
    patches: tuple


INDEX = indexes.BlockIndex
GUARDS = {
    "organisation in the key": DisabledGuard(
        "other_organisation",
        ((block_names.Names, "derive_key", key_without_organisation),),
    ),
    "version in the key": DisabledGuard(
        "other_version",
        ((block_names.Names, "derive_key", key_without_version),),
    ),
    "confirmation of writes": DisabledGuard(
        "half_read",
        ((exporting.Exporter, "confirm", confirm_without_checking),),
    ),
    "size of adopted blocks": DisabledGuard(
        "half_read", ((sweeping.Sweeper, "adopt", adopt_without_checking),)
    ),
    "check when reading begins": DisabledGuard(
        "freed_read", ((INDEX, "pin", pin_without_checking),)
    ),
    "boot of the store": DisabledGuard(
        "stale_boot_read",
        (
            (INDEX, "drop_earlier_boots", lambda self, store, boot: []),
            (stores.Stores, "readable", readable_without_boot_check),
        ),
    ),
}


@pytest.mark.parametrize("agents", [1, 2])
@pytest.mark.parametrize("seed", [1, 2])
def test_nothing_that_must_never_happen_happens(seed, agents):
    """Sessions come and go over halves, wrong bytes, restarts, rollouts
    and full stores.  A caller would see another's text, or wrong tokens.
    """
    violations = simulation.Simulation(seed, agents).run_steps(OPERATIONS)

    assert violations.occurred() == {}
    assert violations.imported > 20, violations
    assert violations.faults > 10, violations


def test_two_agents_that_both_own_everything_do_no_harm():
    """The agents disagree on who is alive, and both think they own.

    One deletes what the other still has in its index.  That costs
    recomputation; it must not bring a half, another's or an old block.
    """
    violations = simulation.Simulation(4, agents=2, all_own=True).run_steps(
        OPERATIONS
    )

    occurred = violations.occurred()
    occurred.pop("deleted_under_reader", None)
    assert occurred == {}
    assert violations.imported > 20, violations


def test_an_agent_that_wakes_reads_nothing_that_was_deleted_meanwhile():
    """An agent is frozen between its last look and its order to import.

    The owner frees the blocks, waits for all copies and deletes them.
    The agent wakes long after its bounds and gives its order.
    """
    simulated = simulation.Simulation(1)
    owner, frozen = simulated.agents
    session = next(
        name
        for name in map(str, range(9))
        if owner.ports.holders(owner.names.group("crew", name)).is_owner
    )
    simulated.rng.random = lambda: 1.0
    simulated.interleave = lambda: None
    simulated.maintain(owner)
    simulated.maintain(frozen)
    simulated.site.run(owner, "crew", simulation.CHAINS[0], session=session)
    simulated.export_once(owner)
    plan = simulated.site.plan(
        frozen, "crew", simulation.CHAINS[0], session=session
    )
    simulated.site.forget()

    def sleep():
        for planned in plan.blocks:
            owner.index.free(planned.block, simulated.now + 20.0)
        simulated.now += 60.0
        simulated.maintain(owner)

    simulated.interleave = sleep
    done = frozen.import_to(simulated.site.engine.address, plan)
    simulated.site.stop()

    assert len(plan.blocks) == 3
    assert (done.pieces, done.failed) == (0, "missing")
    assert simulated.violations.half_read == 0
    assert simulated.site.stores["keep-a"].reads == []
    assert simulated.site.stores["keep-b"].reads == []


@pytest.mark.parametrize("disabled", GUARDS.values(), ids=GUARDS.keys())
def test_without_its_guard_it_happens(monkeypatch, disabled):
    """Each guard is taken out in turn; the same run must then fail.

    A guard whose absence nothing shows is not known to hold anything.
    """
    for patch in disabled.patches:
        monkeypatch.setattr(*patch)
    violations = simulation.Violations()
    for seed in range(1, 13):
        violations = simulation.Simulation(seed).run_steps(OPERATIONS)
        if disabled.violation in violations.occurred():
            break

    assert disabled.violation in violations.occurred(), violations
