from __future__ import annotations

import dataclasses

import pytest

from briarseam.cache import exporting
from briarseam.cache import retention
from briarseam.cache import service
from briarseam.cache import state
from briarseam.cache import sweeping
from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.endpoints import store as store_client

SIZE = 1000


def chain(session):
    start = session.encode().ljust(15)
    return tuple(start + bytes([piece]) for piece in range(5))


@dataclasses.dataclass
class Listings:
    """A store client that counts the listings."""

    blocks: tuple = ()
    count: int = 0

    def listing(self, address, after, limit):
        self.count += 1
        return store_client.Page("boot", self.blocks, more=False)


class Bench:
    """One agent with one store, no threads and no network."""

    def __init__(self):
        self.now = 1000.0
        self.epoch = 1
        self.organisations = {}
        self.policy = values.CachePolicy(policy="lru", fill=0.5)
        ports = service.Ports(
            holders=lambda group: state.Holders(epoch=self.epoch),
            clock=lambda: self.now,
            wall_clock=lambda: self.now,
        )
        self.kept = service.KeptCache(self.view, b"key", ports=ports)
        self.kept.update_stores()
        self.store = self.kept.stores.by_name["keep-a"]
        self.store.alive = True
        self.store.boot_id = "boot"
        self.maintainer = self.kept.maintainers["keep-a"]

    def view(self):
        endpoint = values.Endpoint(
            kind=values.EndpointKind.STORE, address="127.0.0.1:1", zone="z"
        )
        return schema.View(
            offset=1,
            endpoints={"keep-a": endpoint},
            models={"draft": values.Model(version="v2")},
            organisations=self.organisations,
            kept_cache=self.policy,
        )

    def put(self, organisation, session, version="v2", pieces=5):
        """Index a session's blocks, one second after the previous session."""
        self.now += 1.0
        prompt = state.Prompt(
            organisation, session, "draft", "", version, chain(session)
        )
        blocks = self.blocks(prompt)[:pieces]
        for block in blocks:
            self.kept.index.add(block, self.now, float("inf"))
        self.store.used += SIZE * pieces
        return blocks

    def blocks(self, prompt):
        names = self.kept.names
        group = self.kept.planner.group(prompt)
        variant = names.variant("draft", "", prompt.version)
        keys = self.kept.planner.keys(prompt, prompt.chain)
        packed = [
            names.pack(names.new_name(group, variant, depth, key))
            for depth, key in enumerate(keys)
        ]
        return [
            state.Block(name, SIZE, b"c" * 16, "keep-a", "boot")
            for name in packed
        ]

    def indexed_count(self, blocks):
        return sum(self.kept.index.contains(block) for block in blocks)


@pytest.fixture
def bench():
    return Bench()


def test_oldest_session_is_freed_first_from_its_end(bench):
    """A store slightly exceeds its limit.

    The start of a chain is useful without its end, but not vice versa.
    """
    old = bench.put("kitchen", "old")
    new = bench.put("kitchen", "new")
    bench.store.capacity = 18 * SIZE

    bench.maintainer.make_room()

    assert bench.indexed_count(new) == 5
    assert [bench.kept.index.contains(block) for block in old] == [
        *[True] * 3,
        *[False] * 2,
    ]


def test_organisation_over_its_share_is_freed_first(bench):
    """A large organisation fills the store with new sessions.

    An older session of a small organisation must not be freed for them.
    """
    digest = "0" * 32
    bench.organisations = {
        "large": values.Organisation(digest, cache_share=0.5),
        "small": values.Organisation("1" * 32),
    }
    small = bench.put("small", "s")
    large = [bench.put("large", f"l{number}") for number in range(3)]
    bench.store.capacity = 36 * SIZE

    bench.maintainer.make_room()

    assert bench.indexed_count(small) == 5
    assert sum(bench.indexed_count(blocks) for blocks in large) < 15


def test_blocks_of_replaced_version_are_freed_first(bench):
    """After a rollout the store is full of blocks that can't match."""
    bench.policy = dataclasses.replace(bench.policy, policy="value")
    for _ in range(50):
        bench.kept.returns.record_use(b"g" * 12, 5, bench.now)
        bench.now += 10.0
    current = bench.put("kitchen", "current")
    replaced = bench.put("kitchen", "replaced", version="v1")
    bench.store.capacity = 18 * SIZE

    bench.maintainer.make_room()

    assert bench.indexed_count(current) == 5
    assert bench.indexed_count(replaced) == 3


def test_passes_over_listing_are_separated_by_pause(bench):
    """Many agents share a store with a large number of blocks.

    Without a pause, listings alone would exceed the network share of
    control traffic.  A change in the set of agents ends the pause.
    """
    client = Listings()
    context = dataclasses.replace(bench.kept.context, client=client)
    sweeper = sweeping.Sweeper(
        bench.store, context, bench.view, lambda: bench.now
    )
    for _ in range(10):
        sweeper.read_page()
        bench.now += 1.0
    assert client.count == 1

    bench.epoch += 1
    sweeper.read_page()
    assert client.count == 2
    bench.now += sweeping.MIN_PAUSE_S
    sweeper.read_page()
    assert client.count == 3


def test_listed_block_is_adopted_once_its_size_is_known(bench):
    """An agent restarts, and its first export follows the first pass.

    If adoption waited for the next pass, returning prompts would be
    recomputed for minutes.
    """
    prompt = state.Prompt("kitchen", "s", "draft", "", "v2", chain("s"))
    block = bench.blocks(prompt)[0]
    name = bench.kept.names.format(block.packed)
    listed = store_client.StoredBlock(name, SIZE, "63" * 16, 900_000.0)
    context = dataclasses.replace(
        bench.kept.context, client=Listings((listed,))
    )
    sweeper = sweeping.Sweeper(
        bench.store, context, bench.view, lambda: bench.now
    )
    sweeper.read_page()
    assert not bench.kept.index.contains(block)

    bench.kept.context.sizes.record(block.variant, SIZE)
    sweeper.read_page()

    assert bench.kept.index.contains(block)


def test_session_of_lower_value_than_freed_one_is_not_exported(bench):
    """Logs that never return must not displace histories."""
    bench.policy = dataclasses.replace(bench.policy, policy="value")
    bench.store.capacity = 100 * SIZE
    bench.store.min_value = 1e9
    prompt = state.Prompt("kitchen", "log", "draft", "", "v2", chain("s"))

    bench.kept.saver.after_run(prompt, "127.0.0.1:1")

    assert bench.kept.exporters["keep-a"].queue.get(0) is None


def test_chain_of_highest_value_is_exported_first():
    """On a slow link, a log is queued before a history."""
    queue = exporting.Queue()
    jobs = {
        value: exporting.Job("e", "m", "v", b"", b"", (), value, 0.0)
        for value in (0.1, 0.9, 0.5)
    }
    for job in jobs.values():
        queue.put(job)

    assert [queue.get(0).value for _ in jobs] == [0.9, 0.5, 0.1]


def test_value_policy_keeps_returning_groups_and_lru_recent_ones():
    """Histories return after a day, and logs never do.

    An older history has a higher value than a recent log.
    """
    model = retention.ReturnModel()
    for number in range(60):
        group = b"hist" + bytes([number]) * 8
        model.record_use(group, 40, 0.0)
        model.record_use(group, 40, 90_000.0)
        model.record_use(b"logs" + bytes([number]) * 8, 4, 90_000.0)
    for number in range(60):
        model.awaited.pop(b"logs" + bytes([number]) * 8)
        model.record_outcome(
            retention.classify(b"logs", 4, 1), 500_000.0, False
        )
    history = retention.Candidate(
        b"h", retention.classify(b"hist", 40, 1), 50_000.0
    )
    log = retention.Candidate(b"l", retention.classify(b"logs", 4, 1), 10.0)

    by_value = retention.Ranker(model, retention.Policy.VALUE)
    by_lru = retention.Ranker(model, retention.Policy.LRU)

    assert by_value.victim([history, log]) is log
    assert by_lru.victim([history, log]) is history
