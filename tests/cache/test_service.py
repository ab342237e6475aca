from __future__ import annotations

import dataclasses

from briarseam.cache import maintenance
from briarseam.configuration import values
from briarseam.testing import waiting
from tests.cache import site as sites


def test_a_prompt_that_returns_is_imported_instead_of_recomputed(site):
    """An inspection history returns long after its eviction.

    A run leaves its KV in the engine, the engine evicts it, and hours
    later the same prompt comes with one more piece.
    """
    kept = site.agent()
    chain = sites.chain(4)
    site.kept(kept, "kitchen", chain[:3])
    site.forget()

    plan = site.plan(kept, "kitchen", chain)
    imported = kept.import_to(site.engine.address, plan)

    assert imported.pieces == 3
    assert imported.failed == ""
    assert imported.bytes == plan.bytes > 0
    assert site.cached(kept, "kitchen", chain) == 3


def test_only_what_the_endpoint_lacks_is_planned(site):
    """The engine still has the first two pieces of a prompt."""
    kept = site.agent()
    chain = sites.chain(4)
    site.kept(kept, "kitchen", chain)

    plan = site.plan(kept, "kitchen", chain, cached_pieces=2)

    assert [planned.block.depth for planned in plan.blocks] == [2, 3]


def test_another_organisation_never_matches(site):
    """Two organisations send the same text.

    A hit would tell the second that the first has sent it, and would give
    it KV that was computed for another.
    """
    kept = site.agent()
    chain = sites.chain(2)
    site.kept(kept, "kitchen", chain)

    assert site.plan(kept, "crew", chain).blocks == ()


def test_another_weight_version_never_matches(site):
    """A rollout ends between two turns of a session.

    KV of the old weights under the new ones gives wrong tokens that
    nothing else would show.
    """
    kept = site.agent()
    chain = sites.chain(2)
    site.kept(kept, "kitchen", chain)

    assert site.plan(kept, "kitchen", chain, version="v2").blocks == ()


def test_a_half_written_block_is_never_indexed(site):
    """A store keeps half of a block and answers as if it were whole.

    Found by a later request, the block would end its prefill in the
    middle of a piece.
    """
    kept = site.agent()
    site.stores["keep-a"].set(half_writes=1)
    chain = sites.chain(3)
    site.run(kept, "kitchen", chain)

    waiting.until(lambda: kept.metrics.of("exports_unconfirmed"))

    assert site.plan(kept, "kitchen", chain).blocks == ()
    waiting.until(
        lambda: site.stores["keep-a"].deleted, what="deletion of the half"
    )


def test_a_corrupt_read_is_recomputed_and_the_block_never_used_again(site):
    """A store gives a wrong byte of a block that was whole when written.

    The engine's check of the checksum is the last guard; the pieces
    before the bad one are of use, the bad one leaves the index.
    """
    kept = site.agent()
    chain = sites.chain(3)
    plan = site.kept(kept, "kitchen", chain)
    site.forget()
    bad = kept.names.format(plan.blocks[0].block.packed)
    site.stores["keep-a"].set(corrupt_reads=1)

    imported = kept.import_to(site.engine.address, plan)

    assert imported.pieces == 0
    assert imported.failed == "corrupt"
    assert site.plan(kept, "kitchen", chain).blocks == ()
    waiting.until(lambda: bad in site.stores["keep-a"].deleted)


def test_a_store_that_comes_back_empty_is_not_trusted(site):
    """A store dies and another boot of it answers at its address.

    The old entries would send engines to blocks that are gone.
    """
    kept = site.agent()
    chain = sites.chain(3)
    plan = site.kept(kept, "kitchen", chain)
    site.restart_store("keep-a")
    waiting.until(lambda: kept.metrics.of("lost_blocks") == 3)

    assert site.plan(kept, "kitchen", chain).blocks == ()
    assert kept.import_to(site.engine.address, plan).failed == "freed"
    assert site.stores["keep-a"].reads == []


def test_a_dead_store_is_left_out_at_once(site):
    """A store is killed; the first import that meets it fails.

    Until the store answers again nobody waits for it, and when it comes
    back what is left of it is looked at anew.
    """
    kept = site.agent()
    chain = sites.chain(2)
    plan = site.kept(kept, "kitchen", chain)
    site.forget()
    site.stores["keep-a"].stop()

    imported = kept.import_to(site.engine.address, plan)

    assert imported.pieces == 0
    assert imported.failed == "unreachable"
    assert site.plan(kept, "kitchen", chain).blocks == ()


def test_a_restarted_agent_finds_its_blocks_again(site):
    """An agent is replaced and has lost its index.

    It reads the listing of the store and takes what is certainly whole;
    it knows a whole block's size once one export has been confirmed.
    """
    old = site.agent()
    chain = sites.chain(3)
    site.kept(old, "kitchen", chain)
    old.stop()

    new = site.agent()
    site.kept(new, "kitchen", sites.chain(1, seed="other"), session="t")
    waiting.until(lambda: len(site.plan(new, "kitchen", chain).blocks) == 3)

    assert new.metrics.of("adopted_blocks") == 3


def test_a_block_half_written_before_a_restart_is_not_adopted(site):
    """An agent dies between a write and its confirmation.

    The store lists half a block under a valid name; its successor must
    not take it for a whole one, and must not leave it lying for ever.
    """
    old = site.agent()
    chain = sites.chain(1)
    plan = site.kept(old, "kitchen", chain)
    old.stop()
    block = plan.blocks[0].block
    store = site.stores["keep-a"]
    name = old.names.format(block.packed)
    found = store.blocks.read(name, 1 << 30).block
    half = dataclasses.replace(
        found, content=found.content[: len(found.content) // 2]
    )
    store.blocks.memory[name] = half

    new = site.agent()
    site.kept(new, "kitchen", sites.chain(1, seed="other"), session="t")
    waiting.until(lambda: name in store.deleted)

    assert site.plan(new, "kitchen", chain).blocks == ()
    assert name not in [read.name for read in store.reads]


def test_a_block_is_deleted_only_after_its_reader(site):
    """A store fills while an import is under way.

    Deleted at once, the block would be gone under its reader.
    """
    kept = site.agent()
    chain = sites.chain(2)
    plan = site.kept(kept, "kitchen", chain)
    block = plan.blocks[1].block
    kept.index.pin([block], kept.clock() + 60)

    kept.index.free(block, kept.clock())

    assert len(site.plan(kept, "kitchen", chain).blocks) == 1
    assert kept.index.deletable("keep-a", kept.clock()) == []
    kept.index.unpin([block])
    name = kept.names.format(block.packed)
    waiting.until(lambda: name in site.stores["keep-a"].deleted)


def test_a_full_store_makes_room_by_itself(make_site):
    """More sessions are kept than the store holds.

    What is worth least goes, from the end of a chain, and exports go on.
    """
    site = make_site(fill=0.7)
    store = site.stores["keep-a"]
    store.set(capacity=45_000)
    kept = site.agent()
    for number in range(6):
        chain = sites.chain(3, seed=number)
        site.kept(kept, "kitchen", chain, session=f"s{number}", count=1)

    waiting.until(lambda: store.state().used <= 0.7 * 45_000 and store.deleted)

    assert kept.metrics.of("freed_blocks") > 0


def test_nothing_is_kept_when_the_policy_is_off(make_site):
    """Operators switch the kept cache off while blocks are in it."""
    site = make_site()
    kept = site.agent()
    chain = sites.chain(2)
    site.kept(kept, "kitchen", chain)

    site.policy = values.CachePolicy(policy="off")
    site.run(kept, "kitchen", sites.chain(2, seed=1))

    assert site.plan(kept, "kitchen", chain).blocks == ()
    assert kept.exporters["keep-a"].queue.jobs == []


def test_the_sweep_passes_over_what_is_being_written(site):
    """A listing shows a block before its exporter has confirmed it.

    Adopted then, it was freed as a second copy by its own exporter, and
    half of it would be in use if its confirmation fails.  Seen as prompts
    that are never kept although their exports succeed.
    """
    kept = site.agent()
    chain = sites.chain(1)
    block = site.kept(kept, "kitchen", chain).blocks[0].block
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


def test_a_block_that_is_gone_is_recomputed_and_forgotten(site):
    """Another agent deleted a block that is still in the index here.

    The engine meets a 404; the pieces in front of it are of use, the
    block is not planned again, and the store goes on being used.
    """
    kept = site.agent()
    chain = sites.chain(3)
    plan = site.kept(kept, "kitchen", chain)
    site.forget()
    gone = plan.blocks[1].block
    site.stores["keep-a"].blocks.delete(kept.names.format(gone.packed))

    imported = kept.import_to(site.engine.address, plan)

    assert (imported.pieces, imported.failed) == (1, "missing")
    assert len(site.plan(kept, "kitchen", chain).blocks) == 1
    assert kept.stores.writable()


def test_a_swap_of_weights_does_not_condemn_a_store(site):
    """An engine loads other weights between a plan and its import.

    It refuses; taken for the store's fault, all prompts would be computed
    anew until the store is polled again.
    """
    kept = site.agent()
    chain = sites.chain(2)
    plan = site.kept(kept, "kitchen", chain)

    swapped = dataclasses.replace(plan, version="v2")
    imported = kept.import_to(site.engine.address, swapped)

    assert imported.failed
    assert kept.stores.writable()
    assert len(site.plan(kept, "kitchen", chain).blocks) == 2


def test_an_engine_that_does_not_answer_may_still_be_reading(site):
    """An import is given up after its time; the engine reads on.

    The store fills meanwhile.  Deleted at once, the blocks would be gone
    under the engine.
    """
    kept = site.agent()
    chain = sites.chain(2)
    plan = site.kept(kept, "kitchen", chain)
    block = plan.blocks[0].block
    site.engine.set(delay_ms=5000)

    imported = kept.import_to(site.engine.address, plan, max_s=0.1)
    kept.index.free(block, kept.clock())

    assert imported.failed.startswith("unanswered")
    assert kept.index.deletable("keep-a", kept.clock()) == []
    after = kept.clock() + maintenance.MAX_IMPORT_S
    assert kept.index.is_pinned(block, after) is False
