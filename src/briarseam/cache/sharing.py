"""Sharing of the index between agents: queries and change notifications.

A group's index is held by its owner and by an agent in another zone.  The
owner's copy is authoritative: only the owner frees blocks.  Any other agent
uses a reply for ``COPY_TTL_S`` and then queries again, so that the owner can
wait until all copies have expired before it deletes a block.
"""

from __future__ import annotations

import collections
import queue
import threading
import typing

import structlog

from briarseam.cache import index as indexes
from briarseam.cache import messages
from briarseam.cache import state
from briarseam.wire import codec
from briarseam.wire import connection as connections
from briarseam.wire import server

QUERY_TIMEOUT_S = 0.008
CHANGE_TIMEOUT_S = 1.0
COPY_TTL_S = 10.0
BACKOFF_S = 1.0
WARM_UP_S = 30.0
MAX_QUEUED_CHANGES = 10000
MAX_QUERIED_GROUPS = 4096
MAX_BATCH = 256
POLL_S = 0.2
Call = typing.Callable[[str, codec.Message, float], codec.Message]
log = structlog.get_logger("briarseam.cache")


def unreachable(
    address: str, request: codec.Message, timeout_s: float
) -> codec.Message:
    """Fail, since there are no other agents."""
    raise connections.WireError("no peers")


class Sharing:
    """Queries other agents for groups and notifies them of changes.

    Parameters
    ----------
    index
        Index of this agent.
    holders
        Returns the agents that hold a group.
    call
        Sends a message to an agent and returns its reply.
    clock
        Monotonic seconds.
    metrics
        Counters.
    """

    def __init__(
        self,
        index: indexes.BlockIndex,
        holders: typing.Callable[[bytes], state.Holders],
        call: Call,
        clock: typing.Callable[[], float],
        metrics: state.Metrics,
    ) -> None:
        self.index = index
        self.holders = holders
        self.call = call
        self.clock = clock
        self.metrics = metrics
        self.backoff_until: dict[str, float] = {}
        self.next_query_at: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self.epoch = -1
        self.warm_up_until = clock() + WARM_UP_S
        self.on_block_added: typing.Callable[[state.Block], None] = lambda _: (
            None
        )
        self.changes: queue.Queue[Change] = queue.Queue(MAX_QUEUED_CHANGES)
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.send_changes, name="kept-changes", daemon=True
        )

    def register(self, router: server.Router) -> None:
        """Answer other agents' messages."""
        router.on(messages.KeptAsk, self.answer)
        router.on(messages.KeptChange, self.apply_change)

    def valid_until(self, is_owner: bool) -> float:
        """Return the time until which a block added now may be used."""
        return float("inf") if is_owner else self.clock() + COPY_TTL_S

    def deletion_delay_s(
        self, holders: state.Holders, max_import_s: float
    ) -> float:
        """Return how long other agents may use a block freed now.

        Parameters
        ----------
        holders
            Agents that hold the block's group.
        max_import_s
            Maximum duration of an import.
        """
        return COPY_TTL_S + max_import_s if holders.others else 0.0

    def answer(
        self, peer: connections.Identity, request: messages.KeptAsk
    ) -> messages.KeptAnswer:
        """Return the blocks of a group in this agent's index."""
        with self.index.lock:
            group = self.index.groups.get(request.group)
            if group is None:
                return messages.KeptAnswer(())
            group.used_at = self.clock()
            blocks = [
                block
                for block in group.blocks
                if block.variant == request.variant
            ]
        blocks.sort(key=lambda block: block.depth)
        return messages.KeptAnswer(tuple(blocks[: messages.MAX_BLOCKS]))

    def apply_change(
        self, peer: connections.Identity, change: messages.KeptChange
    ) -> messages.KeptNoted:
        """Apply changes by another agent."""
        self.apply_freed(change.freed)
        for block in change.added:
            is_owner = self.holders(block.group).is_owner
            valid_until = self.valid_until(is_owner)
            if self.index.add(block, self.clock(), valid_until):
                self.on_block_added(block)
        return messages.KeptNoted()

    def apply_freed(self, freed: typing.Sequence[bytes]) -> None:
        """Remove blocks from the index; their owner deletes them."""
        freed_names = set(freed)
        with self.index.lock:
            known_blocks = [
                block
                for packed in freed_names
                for block in [self.index.by_key.get(block_key(packed))]
                if block is not None and block.packed == packed
            ]
            for block in known_blocks:
                self.index.forget(block)

    def query(self, group: bytes, variant: bytes) -> None:
        """Get a group from an agent that holds it, in a few milliseconds.

        Does nothing if this agent's own copy is sufficient.
        """
        holders = self.holders(group)
        if not self.needs_query(group, holders):
            return
        for address in holders.others:
            if self.backoff_until.get(address, 0.0) > self.clock():
                continue
            if self.query_agent(address, group, variant, holders.is_owner):
                return

    def needs_query(self, group: bytes, holders: state.Holders) -> bool:
        """Return whether other agents may have more blocks of a group."""
        now = self.clock()
        if holders.epoch != self.epoch:
            self.epoch = holders.epoch
            self.warm_up_until = now + WARM_UP_S
        if not holders.others:
            return False
        with self.index.lock:
            group_entry = self.index.groups.get(group)
            if holders.is_owner:
                warming_up = group_entry is None and now < self.warm_up_until
                return warming_up and self.next_query_at.get(group, 0.0) <= now
            if group_entry is not None and group_entry.valid_until > now:
                return False
        return self.next_query_at.get(group, 0.0) <= now

    def query_agent(
        self, address: str, group: bytes, variant: bytes, is_owner: bool
    ) -> bool:
        """Query one agent; return whether it answered."""
        self.metrics.count("kept_index_asks")
        request = messages.KeptAsk(group, variant)
        try:
            reply = self.call(address, request, QUERY_TIMEOUT_S)
        except connections.WireError:
            # Guard: each routing decision would wait for the timeout of an
            # unreachable peer, so it isn't queried for a while.  Without
            # its answer the prompt is recomputed, which is always correct.
            self.backoff_until[address] = self.clock() + BACKOFF_S
            self.metrics.count("kept_index_asks_lost")
            return False
        if not isinstance(reply, messages.KeptAnswer):
            return False
        self.apply_reply(group, reply, is_owner)
        return True

    def apply_reply(
        self, group: bytes, reply: messages.KeptAnswer, is_owner: bool
    ) -> None:
        """Replace a group in the index by a reply."""
        now = self.clock()
        valid_until = self.valid_until(is_owner)
        with self.index.lock:
            current = {block.packed for block in reply.blocks}
            group_entry = self.index.groups.get(group)
            old = list(group_entry.blocks) if group_entry is not None else []
            for block in old:
                if block.packed not in current and not is_owner:
                    self.index.forget(block)
            for block in reply.blocks:
                if block.group == group:
                    self.index.add(block, now, valid_until)
            group_entry = self.index.groups.get(group)
            if group_entry is not None:
                group_entry.valid_until = valid_until
        self.next_query_at[group] = now + COPY_TTL_S
        while len(self.next_query_at) > MAX_QUERIED_GROUPS:
            self.next_query_at.popitem(last=False)

    def announce_added(self, block: state.Block) -> None:
        """Notify the holders of a group of a confirmed block."""
        self.enqueue(block.group, messages.KeptChange(added=(block,)))

    def announce_freed(self, block: state.Block) -> None:
        """Notify the holders of a group of a freed block."""
        self.enqueue(block.group, messages.KeptChange(freed=(block.packed,)))

    def enqueue(self, group: bytes, change: messages.KeptChange) -> None:
        """Queue a change for the agents that hold a group."""
        for address in self.holders(group).others:
            try:
                self.changes.put_nowait(Change(address, change))
            except queue.Full:
                # A copy that lacks a change costs at most a recomputation,
                # since an import of a missing block fails.
                self.metrics.count("kept_changes_dropped")

    def start(self) -> None:
        """Start the thread that sends changes."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the thread that sends changes."""
        self.stopping.set()

    def send_changes(self) -> None:
        """Send changes until stopped, batched for each agent."""
        while not self.stopping.is_set():
            self.send_batch(POLL_S)

    def send_batch(self, timeout_s: float) -> None:
        """Send the changes that are queued before the timeout."""
        for address, change in self.next_batch(timeout_s).items():
            try:
                self.call(address, change, CHANGE_TIMEOUT_S)
            except connections.WireError:
                self.metrics.count("kept_changes_lost")

    def next_batch(self, timeout_s: float) -> dict[str, messages.KeptChange]:
        """Return queued changes by the address of their agent."""
        try:
            pending = [self.changes.get(timeout=timeout_s)]
        except queue.Empty:
            return {}
        while len(pending) < MAX_BATCH:
            try:
                pending.append(self.changes.get_nowait())
            except queue.Empty:
                break
        merged: dict[str, messages.KeptChange] = {}
        for item in pending:
            previous = merged.get(item.address, messages.KeptChange())
            merged[item.address] = messages.KeptChange(
                added=previous.added + item.change.added,
                freed=previous.freed + item.change.freed,
            )
        return merged


class Change(typing.NamedTuple):
    """A change and the address of its agent."""

    address: str
    change: messages.KeptChange


def block_key(packed: bytes) -> bytes:
    """Return the key in a packed name."""
    return state.Block(packed, 0, b"", "", "").key
