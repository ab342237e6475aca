from __future__ import annotations

import dataclasses

import pytest

from briarseam.cache import index as indexes
from briarseam.cache import maintenance
from briarseam.cache import messages
from briarseam.cache import names as block_names
from briarseam.cache import owners
from briarseam.cache import sharing
from briarseam.cache import state
from briarseam.compose import kept
from briarseam.lookup import service as lookup
from briarseam.membership import state as members
from briarseam.wire import connection as connections

NAMES = block_names.Names(b"secret")
GROUP = NAMES.group("kitchen", "s")
VARIANT = NAMES.variant("draft", "", "v1")
FOREVER = float("inf")


def block(depth=0):
    key = bytes([depth]) * block_names.KEY_BYTES
    name = NAMES.new_name(GROUP, VARIANT, depth, key)
    return state.Block(NAMES.pack(name), 100, b"c" * 16, "keep-a", "boot")


@dataclasses.dataclass
class Agent:
    """The index and sharing of one agent, with a manual clock."""

    is_owner: bool
    now: float = 100.0
    reply: object = None
    queried: list = dataclasses.field(default_factory=list)

    def __post_init__(self):
        self.index = indexes.BlockIndex(100)
        holders = state.Holders(self.is_owner, ("owner", "second"), epoch=1)
        self.sharing = sharing.Sharing(
            self.index,
            lambda group: holders,
            self.call,
            lambda: self.now,
            state.NoMetrics(),
        )

    def call(self, address, request, timeout_s):
        self.queried.append(address)
        if self.reply is None:
            raise connections.WireError("gone")
        return self.reply

    def found(self, blocks):
        own = GROUP if self.is_owner else b""
        keys = [each.key for each in blocks]
        return self.index.longest_prefix(keys, self.now, own)


@pytest.fixture
def other():
    return Agent(is_owner=False)


def test_queried_index_is_used_until_it_expires(other):
    """A session is served by an instance that doesn't own its group.

    The reply is valid for a while, after which the owner may have freed
    the blocks.
    """
    blocks = [block(0), block(1)]
    other.reply = messages.KeptAnswer(tuple(blocks))
    other.sharing.query(GROUP, VARIANT)
    other.sharing.query(GROUP, VARIANT)
    assert other.found(blocks) == blocks
    assert other.queried == ["owner"]

    other.now += sharing.COPY_TTL_S
    assert other.found(blocks) == []
    other.reply = messages.KeptAnswer((blocks[0],))
    other.sharing.query(GROUP, VARIANT)

    assert other.found(blocks) == [blocks[0]]
    assert len(other.index) == 1


def test_unreachable_owner_is_not_queried_for_a_while(other):
    """Both agents that hold an index are unreachable.

    If they were queried again, each decision would wait for the timeout.
    """
    other.sharing.query(GROUP, VARIANT)
    other.sharing.query(GROUP, VARIANT)
    assert other.queried == ["owner", "second"]

    other.now += sharing.BACKOFF_S
    other.sharing.query(GROUP, VARIANT)

    assert other.queried == ["owner", "second"] * 2


def test_owner_deletes_only_after_all_copies_have_expired():
    """The owner frees a block just after another instance has queried it.

    That instance may start an import until its copy expires.
    """
    owner = Agent(is_owner=True)
    other = Agent(is_owner=False)
    shared = block()
    owner.index.add(shared, owner.now, FOREVER)
    other.reply = owner.sharing.answer(None, messages.KeptAsk(GROUP, VARIANT))
    other.sharing.query(GROUP, VARIANT)
    holders = owner.sharing.holders(GROUP)
    wait_s = owner.sharing.deletion_delay_s(holders, maintenance.MAX_IMPORT_S)
    owner.index.free(shared, owner.now + wait_s)

    other.now += sharing.COPY_TTL_S - 0.001
    reading_ends = other.now + maintenance.MAX_IMPORT_S
    assert other.found([shared]) == [shared]
    assert owner.index.deletable("keep-a", reading_ends) == []
    assert owner.index.deletable("keep-a", reading_ends + 0.01) == [shared]


def test_freed_block_is_removed_from_second_copy():
    """The owner fails after it freed a block, and the copy is queried."""
    second = Agent(is_owner=True)
    kept, freed = block(0), block(1)
    change = messages.KeptChange(added=(kept, freed))
    second.sharing.apply_change(None, change)
    second.sharing.apply_change(
        None, messages.KeptChange(freed=(freed.packed,))
    )

    answer = second.sharing.answer(None, messages.KeptAsk(GROUP, VARIANT))

    assert answer.blocks == (kept,)


def test_lookup_leads_to_owner_and_copy_is_in_another_zone():
    """The instance that serves a session needs no query for its index.

    If its zone fails, the index is available in another zone.
    """
    agents = tuple(
        members.Member(
            name=f"{zone}-{number}",
            zone=zone,
            cell=f"{zone}/0",
            agent_address=f"agent of {zone}-{number}",
            entry_addresses=(f"entry of {zone}-{number}",),
            state=members.MemberState.ALIVE,
        )
        for zone in ("a", "b", "c")
        for number in range(2)
    )
    lookups = lookup.Lookup(lambda: agents, lambda digest: None)
    ranking = {
        one.name: owners.Owners(one.name, lookups.layout) for one in agents
    }
    names = block_names.Names(b"secret", kept.session_hash)
    for number in range(50):
        session = f"s{number}"
        group = names.group("kitchen", session)
        owner = lookups.owner("kitchen", session)
        owning = [
            name
            for name, holders_of in ranking.items()
            if holders_of(group).is_owner
        ]
        assert owning == [owner.name]
        (second,) = ranking[owner.name](group).others
        assert second.startswith("agent of ")
        assert not second.startswith(f"agent of {owner.zone}-")
