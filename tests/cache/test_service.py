from __future__ import annotations

import dataclasses

from briarseam.cache import maintenance
from briarseam.configuration import values
from briarseam.testing import waiting
from tests.cache import site as sites


def test_returning_prompt_is_imported_instead_of_recomputed(site):
    """A prompt returns with one more piece long after its eviction.

    A run left its KV in an engine, which has evicted it.
    """
    kept = site.agent()
    chain = sites.chain(4)
    site.run_and_export(kept, "kitchen", chain[:3])
    site.forget()

    plan = site.plan(kept, "kitchen", chain)
    imported = kept.import_to(site.engine.address, plan)

    assert imported.pieces == 3
    assert imported.failed == ""
    assert imported.bytes == plan.bytes > 0
    assert site.cached(kept, "kitchen", chain) == 3


def test_only_pieces_missing_at_endpoint_are_planned(site):
    """The engine still has the first two pieces of a prompt."""
    kept = site.agent()
    chain = sites.chain(4)
    site.run_and_export(kept, "kitchen", chain)

    plan = site.plan(kept, "kitchen", chain, cached_pieces=2)

    assert [planned.block.depth for planned in plan.blocks] == [2, 3]


def test_blocks_of_another_organisation_never_match(site):
    """Two organisations send the same text.

    A hit would reveal to the second that the first has sent it, and would
    use KV that was computed for another organisation.
    """
    kept = site.agent()
    chain = sites.chain(2)
    site.run_and_export(kept, "kitchen", chain)

    assert site.plan(kept, "crew", chain).blocks == ()


def test_blocks_of_another_weight_version_never_match(site):
    """A rollout ends between two turns of a session.

    KV of the old weights would produce wrong tokens under the new ones,
    without any error.
    """
    kept = site.agent()
    chain = sites.chain(2)
    site.run_and_export(kept, "kitchen", chain)

    assert site.plan(kept, "kitchen", chain, version="v2").blocks == ()


def test_partially_written_block_is_never_indexed(site):
    """A store keeps half of a block, but reports success.

    If a later request used the block, its KV would end in the middle of a
    piece.
    """
    kept = site.agent()
    site.stores["keep-a"].set(half_writes=1)
    chain = sites.chain(3)
    site.run(kept, "kitchen", chain)

    waiting.until(lambda: kept.metrics.of("exports_unconfirmed"))

    assert site.plan(kept, "kitchen", chain).blocks == ()
    waiting.until(
        lambda: site.stores["keep-a"].deleted,
        what="deletion of the partial block",
    )


def test_corrupt_block_is_recomputed_and_never_used_again(site):
    """A store returns a wrong byte of a block that was written completely.

    The engine's verification of the checksum is the last guard; the pieces
    before the corrupt one are used, and the block leaves the index.
    """
    kept = site.agent()
    chain = sites.chain(3)
    plan = site.run_and_export(kept, "kitchen", chain)
    site.forget()
    bad = kept.names.format(plan.blocks[0].block.packed)
    site.stores["keep-a"].set(corrupt_reads=1)

    imported = kept.import_to(site.engine.address, plan)

    assert imported.pieces == 0
    assert imported.failed == "corrupt"
    assert site.plan(kept, "kitchen", chain).blocks == ()
    waiting.until(lambda: bad in site.stores["keep-a"].deleted)


def test_blocks_of_store_restarted_empty_are_dropped(site):
    """A store is restarted empty at the same address.

    The old index entries would send engines to missing blocks.
    """
    kept = site.agent()
    chain = sites.chain(3)
    plan = site.run_and_export(kept, "kitchen", chain)
    site.restart_store("keep-a")
    waiting.until(lambda: kept.metrics.of("lost_blocks") == 3)

    assert site.plan(kept, "kitchen", chain).blocks == ()
    assert kept.import_to(site.engine.address, plan).failed == "freed"
    assert site.stores["keep-a"].reads == []


def test_unreachable_store_is_excluded_at_once(site):
    """A store is stopped, and the first import from it fails.

    No prompt waits for the store until it answers again.
    """
    kept = site.agent()
    chain = sites.chain(2)
    plan = site.run_and_export(kept, "kitchen", chain)
    site.forget()
    site.stores["keep-a"].stop()

    imported = kept.import_to(site.engine.address, plan)

    assert imported.pieces == 0
    assert imported.failed == "unreachable"
    assert site.plan(kept, "kitchen", chain).blocks == ()


def test_restarted_agent_adopts_its_blocks(site):
    """A restarted agent has lost its index.

    It reads the store's listing and adopts blocks that are certainly
    complete, whose size it knows once an export has been confirmed.
    """
    old = site.agent()
    chain = sites.chain(3)
    site.run_and_export(old, "kitchen", chain)
    old.stop()

    new = site.agent()
    site.run_and_export(
        new, "kitchen", sites.chain(1, seed="other"), session="t"
    )
    waiting.until(lambda: len(site.plan(new, "kitchen", chain).blocks) == 3)

    assert new.metrics.of("adopted_blocks") == 3


def test_block_partially_written_before_restart_is_not_adopted(site):
    """An agent crashes between a write and its confirmation.

    The store lists a partial block under a valid name.  The next agent
    must not use the block, and must delete it.
    """
    old = site.agent()
    chain = sites.chain(1)
    plan = site.run_and_export(old, "kitchen", chain)
    old.stop()
    block = plan.blocks[0].block
    store = site.stores["keep-a"]
    name = old.names.format(block.packed)
    found = store.blocks.read(name, 1 << 30).block
    partial = dataclasses.replace(
        found, content=found.content[: len(found.content) // 2]
    )
    store.blocks.memory[name] = partial

    new = site.agent()
    site.run_and_export(
        new, "kitchen", sites.chain(1, seed="other"), session="t"
    )
    waiting.until(lambda: name in store.deleted)

    assert site.plan(new, "kitchen", chain).blocks == ()
    assert name not in [read.name for read in store.reads]


def test_block_is_deleted_only_after_its_reader_ends(site):
    """A store fills up during an import.

    If the block were deleted at once, its reader would find it missing.
    """
    kept = site.agent()
    chain = sites.chain(2)
    plan = site.run_and_export(kept, "kitchen", chain)
    block = plan.blocks[1].block
    kept.index.pin([block], kept.clock() + 60)

    kept.index.free(block, kept.clock())

    assert len(site.plan(kept, "kitchen", chain).blocks) == 1
    assert kept.index.deletable("keep-a", kept.clock()) == []
    kept.index.unpin([block])
    name = kept.names.format(block.packed)
    waiting.until(lambda: name in site.stores["keep-a"].deleted)


def test_full_store_frees_blocks(make_site):
    """More sessions are kept than fit into the store.

    The sessions of lowest value are freed from the end of their chains, and
    exports continue.
    """
    site = make_site(fill=0.7)
    store = site.stores["keep-a"]
    store.set(capacity=45_000)
    kept = site.agent()
    for number in range(6):
        chain = sites.chain(3, seed=number)
        site.run_and_export(
            kept, "kitchen", chain, session=f"s{number}", count=1
        )

    waiting.until(lambda: store.state().used <= 0.7 * 45_000 and store.deleted)

    assert kept.metrics.of("freed_blocks") > 0


def test_nothing_is_kept_while_policy_is_off(make_site):
    """Operators disable the kept cache while it contains blocks."""
    site = make_site()
    kept = site.agent()
    chain = sites.chain(2)
    site.run_and_export(kept, "kitchen", chain)

    site.policy = values.CachePolicy(policy="off")
    site.run(kept, "kitchen", sites.chain(2, seed=1))

    assert site.plan(kept, "kitchen", chain).blocks == ()
    assert kept.exporters["keep-a"].queue.jobs == []


def test_sweep_skips_blocks_being_written(site):
    """A listing contains a block before its exporter has confirmed it.

    If the sweep adopted it, its own exporter would free it as a second
    copy, so prompts would not be kept although their exports succeed; and
    a partial block would be in use if the confirmation failed.
    """
    kept = site.agent()
    chain = sites.chain(1)
    block = site.run_and_export(kept, "kitchen", chain).blocks[0].block
    kept.index.in_flight_writes.add(block.packed)
    kept.index.forget(block)
    passes = kept.maintainers["keep-a"].sweeper.sweep.passes

    waiting.until(
        lambda: kept.maintainers["keep-a"].sweeper.sweep.passes > passes + 1,
        what="two passes",
    )

    assert not kept.index.contains(block)
    kept.index.in_flight_writes.discard(block.packed)
    waiting.until(lambda: kept.index.contains(block), what="adoption")


def test_missing_block_is_recomputed_and_dropped(site):
    """Another agent deleted a block that is still in this agent's index.

    The engine gets a 404.  The pieces before the block are used, the block
    is not planned again, and the store stays in use.
    """
    kept = site.agent()
    chain = sites.chain(3)
    plan = site.run_and_export(kept, "kitchen", chain)
    site.forget()
    missing = plan.blocks[1].block
    site.stores["keep-a"].blocks.delete(kept.names.format(missing.packed))

    imported = kept.import_to(site.engine.address, plan)

    assert (imported.pieces, imported.failed) == (1, "missing")
    assert len(site.plan(kept, "kitchen", chain).blocks) == 1
    assert kept.stores.writable()


def test_import_refused_after_weight_swap_keeps_store_in_use(site):
    """An engine loads other weights between a plan and its import.

    It refuses the import.  If this counted as a fault of the store, all
    prompts would be recomputed until the next poll of the store.
    """
    kept = site.agent()
    chain = sites.chain(2)
    plan = site.run_and_export(kept, "kitchen", chain)

    swapped = dataclasses.replace(plan, version="v2")
    imported = kept.import_to(site.engine.address, swapped)

    assert imported.failed
    assert kept.stores.writable()
    assert len(site.plan(kept, "kitchen", chain).blocks) == 2


def test_blocks_stay_pinned_after_import_without_answer(site):
    """An import times out while the engine continues to read.

    The store fills up meanwhile.  If the blocks were deleted at once, the
    engine would find them missing.
    """
    kept = site.agent()
    chain = sites.chain(2)
    plan = site.run_and_export(kept, "kitchen", chain)
    block = plan.blocks[0].block
    site.engine.set(delay_ms=5000)

    imported = kept.import_to(site.engine.address, plan, max_s=0.1)
    kept.index.free(block, kept.clock())

    assert imported.failed.startswith("unanswered")
    assert kept.index.deletable("keep-a", kept.clock()) == []
    after = kept.clock() + maintenance.MAX_IMPORT_S
    assert kept.index.is_pinned(block, after) is False
