from __future__ import annotations

import pytest

from briarseam.cache import index as indexes
from briarseam.cache import names as block_names
from briarseam.cache import state

NAMES = block_names.Names(b"secret")
FOREVER = float("inf")


def block(depth=0, session="s", store="keep-a", boot_id="boot"):
    group = NAMES.group("kitchen", session)
    variant = NAMES.variant("draft", "", "v1")
    key = bytes([depth]) * block_names.KEY_BYTES
    name = NAMES.new_name(group, variant, depth, key)
    return state.Block(NAMES.pack(name), 100, b"c" * 16, store, boot_id)


@pytest.fixture
def index():
    return indexes.BlockIndex(max_blocks=100)


def test_pinned_block_is_not_deletable(index):
    """A store fills up while an engine reads one of its blocks.

    If the block were deleted, it would be missing during the import.
    """
    read = block()
    index.add(read, 0.0, FOREVER)
    index.pin([read], expires_at=10.0)
    index.free(read, not_before=0.0)

    assert index.deletable("keep-a", now=5.0) == []
    index.unpin([read])
    assert index.deletable("keep-a", now=5.0) == [read]


def test_pin_expires_if_its_reader_never_ends(index):
    """An agent's thread fails during an import and never unpins."""
    read = block()
    index.add(read, 0.0, FOREVER)
    index.pin([read], expires_at=10.0)
    index.free(read, not_before=0.0)

    assert index.deletable("keep-a", now=11.0) == [read]


def test_late_message_does_not_restore_freed_block(index):
    """A late message from a peer or a late listing has a freed block.

    If it were indexed again, it would be read while it is being deleted.
    """
    freed = block()
    index.add(freed, 0.0, FOREVER)
    index.free(freed, not_before=5.0)

    assert not index.add(freed, 1.0, FOREVER)
    assert index.longest_prefix([freed.key], 1.0, b"") == []


def test_plan_is_pinned_up_to_first_freed_block(index):
    """The second block of a plan is freed before the import begins."""
    blocks = [block(depth) for depth in range(3)]
    for each in blocks:
        index.add(each, 0.0, FOREVER)
    index.free(blocks[1], not_before=0.0)

    assert index.pin(blocks, expires_at=10.0) == 1
    assert index.deletable("keep-a", now=0.0) == [blocks[1]]


def test_copy_of_another_agents_index_expires(index):
    """The owner may have freed the block, and waits only this long."""
    copied = block()
    index.add(copied, 0.0, valid_until=10.0)

    assert index.longest_prefix([copied.key], 9.0, b"") == [copied]
    assert index.longest_prefix([copied.key], 10.0, b"") == []
    assert index.longest_prefix([copied.key], 10.0, copied.group) == [copied]


def test_blocks_of_earlier_boot_are_dropped(index):
    """A store is replaced; the blocks of other stores are kept."""
    old = block(0)
    new = block(1, boot_id="boot-2")
    other = block(2, store="keep-b")
    for each in (old, new, other):
        index.add(each, 0.0, FOREVER)

    assert index.drop_earlier_boots("keep-a", "boot-2") == [old]
    assert index.bytes_by_store == {"keep-a": 100, "keep-b": 100}


def test_block_confirmed_in_earlier_boot_is_not_added(index):
    """A store is replaced between a block's confirmation and its indexing.

    An indexed block of the old boot could not be imported, and its piece
    would not be exported again.
    """
    late = block(0)
    index.drop_earlier_boots("keep-a", "boot-2")

    assert not index.add(late, 0.0, FOREVER)
    assert len(index) == 0


def test_index_is_bounded_and_evicts_oldest_group(index):
    """There are more sessions than the index may hold in memory."""
    small = indexes.BlockIndex(max_blocks=32)
    for number in range(32):
        small.add(block(number, session=f"s{number}"), number, FOREVER)
    assert not small.add(block(40, session="new"), 40.0, FOREVER)

    small.evict_oldest(needed=1)

    assert small.add(block(40, session="new"), 40.0, FOREVER)
    assert NAMES.group("kitchen", "s0") not in small.groups
    assert NAMES.group("kitchen", "s31") in small.groups
