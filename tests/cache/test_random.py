"""Seeded simulations of many operations and faults, without threads."""

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
    """Confirm any export without checking the store."""
    checksum = bytes.fromhex(exported.checksum)
    return state.Block(
        packed, exported.bytes, checksum, self.store.name, self.store.boot_id
    )


def adopt_without_checking(self, block, time_ms):
    """Adopt any listed block."""
    return self.context.index.add(block, self.context.clock(), float("inf"))


def key_without_organisation(self, organisation, model, adapter, version):
    return self.keyed_hash(b"pieces", version.encode(), 32)


def key_without_version(self, organisation, model, adapter, version):
    return self.keyed_hash(b"pieces", organisation.encode(), 32)


def pin_without_checking(self, blocks, expires_at):
    return len(blocks)


def readable_without_boot_check(self, name, boot_id):
    store = self.by_name.get(name)
    return store is not None and store.alive


@dataclasses.dataclass(frozen=True)
class DisabledGuard:
    """Patches that disable a guard, and the violation that they cause."""

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
        "partial_read",
        ((exporting.Exporter, "confirm", confirm_without_checking),),
    ),
    "size of adopted blocks": DisabledGuard(
        "partial_read", ((sweeping.Sweeper, "adopt", adopt_without_checking),)
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
def test_random_operations_and_faults_cause_no_violation(seed, agents):
    """Sessions return amid partial writes, corrupt reads, restarts, rollouts
    and full stores.  A violation would give a caller the text of another
    organisation, or wrong tokens.
    """
    counts = simulation.Simulation(seed, agents).run_steps(OPERATIONS)

    assert counts.violations() == {}
    assert counts.imported > 20, counts
    assert counts.faults > 10, counts


def test_two_agents_that_own_all_groups_cause_no_violation():
    """Two agents disagree on which agents are alive, and both act as owner.

    One deletes blocks that the other still has in its index.  This may
    cause recomputation, but no import of a partial, foreign or old block.
    """
    counts = simulation.Simulation(4, agents=2, all_own=True).run_steps(
        OPERATIONS
    )

    violations = counts.violations()
    violations.pop("deleted_under_reader", None)
    assert violations == {}
    assert counts.imported > 20, counts


def test_agent_that_resumes_reads_no_block_deleted_meanwhile():
    """An agent is suspended between its last check and its import request.

    Meanwhile the owner frees the blocks, waits until all copies have
    expired and deletes them.  The agent resumes long after its time limits
    and sends the request.
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
    assert simulated.counts.partial_read == 0
    assert simulated.site.stores["keep-a"].reads == []
    assert simulated.site.stores["keep-b"].reads == []


@pytest.mark.parametrize("disabled", GUARDS.values(), ids=GUARDS.keys())
def test_disabled_guard_causes_its_violation(monkeypatch, disabled):
    """Each guard is disabled in turn, and the simulation must then fail.

    Otherwise no test would show that the guard has an effect.
    """
    for patch in disabled.patches:
        monkeypatch.setattr(*patch)
    counts = simulation.SimulationCounts()
    for seed in range(1, 13):
        counts = simulation.Simulation(seed).run_steps(OPERATIONS)
        if disabled.violation in counts.violations():
            break

    assert disabled.violation in counts.violations(), counts
