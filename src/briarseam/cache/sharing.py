"""The index between agents: owners, their second copies, and asking them.

A group's index is kept by its owner and by an agent of another zone.  The
owner's copy is authoritative: only the owner frees blocks.  Any other agent
uses what it has learned for ``LEARNED_S`` and then asks again, so that the
owner can wait for all copies to run out before it deletes a block.
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

ASK_TIMEOUT_S = 0.008
CHANGE_TIMEOUT_S = 1.0
LEARNED_S = 10.0
QUIET_S = 1.0
COLD_S = 30.0
MAX_QUEUED_CHANGES = 10000
MAX_ASKED = 4096
MAX_BATCH = 256
POLL_S = 0.2
Call = typing.Callable[[str, codec.Message, float], codec.Message]
log = structlog.get_logger("briarseam.cache")


def no_call(
    address: str, request: codec.Message, timeout_s: float
) -> codec.Message:
    """Reach nobody: the agent is alone."""
    raise connections.WireError("no peers")


class Sharing:
    """Asks other agents for groups and tells them of changes.

    Parameters
    ----------
    index
        This agent's index.
    holders
        Which agents keep a group.
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
        self.quiet_until: dict[str, float] = {}
        self.asked: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self.epoch = -1
        self.cold_until = clock() + COLD_S
        self.on_added: typing.Callable[[state.Block], None] = lambda _: None
        self.changes: queue.Queue[Change] = queue.Queue(MAX_QUEUED_CHANGES)
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.tell, name="kept-changes", daemon=True
        )

    def register(self, router: server.Router) -> None:
        """Answer other agents' messages."""
        router.on(messages.KeptAsk, self.answer)
        router.on(messages.KeptChange, self.take)

    def learned_until(self, mine: bool) -> float:
        """Return how long a block that is added now may be used."""
        return float("inf") if mine else self.clock() + LEARNED_S

    def free_wait_s(self, holders: state.Holders, reading_s: float) -> float:
        """Return how long other agents may use a block that is freed now.

        Parameters
        ----------
        holders
            The agents.
        reading_s
            Longest time one import takes.
        """
        return LEARNED_S + reading_s if holders.others else 0.0

    def answer(
        self, peer: connections.Identity, request: messages.KeptAsk
    ) -> messages.KeptAnswer:
        """Return the blocks of a group that this agent keeps."""
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

    def take(
        self, peer: connections.Identity, change: messages.KeptChange
    ) -> messages.KeptNoted:
        """Take in what another agent exported or freed."""
        self.take_freed(change.freed)
        for block in change.added:
            mine = self.holders(block.group).mine
            until = self.learned_until(mine)
            if self.index.add(block, self.clock(), until):
                self.on_added(block)
        return messages.KeptNoted()

    def take_freed(self, freed: typing.Sequence[bytes]) -> None:
        """Forget blocks; their owner deletes them."""
        gone = set(freed)
        with self.index.lock:
            known = [
                block
                for packed in gone
                for block in [self.index.by_key.get(key_of(packed))]
                if block is not None and block.packed == packed
            ]
            for block in known:
                self.index.forget(block)

    def ask(self, group: bytes, variant: bytes) -> None:
        """Learn a group from who keeps it, within a few milliseconds.

        Does nothing when this agent's own copy will do.
        """
        holders = self.holders(group)
        if not self.needs(group, holders):
            return
        for address in holders.others:
            if self.quiet_until.get(address, 0.0) > self.clock():
                continue
            if self.ask_one(address, group, variant, holders.mine):
                return

    def needs(self, group: bytes, holders: state.Holders) -> bool:
        """Tell whether others may know more of a group."""
        now = self.clock()
        if holders.epoch != self.epoch:
            self.epoch = holders.epoch
            self.cold_until = now + COLD_S
        if not holders.others:
            return False
        with self.index.lock:
            known = self.index.groups.get(group)
            if holders.mine:
                cold = known is None and now < self.cold_until
                return cold and self.asked.get(group, 0.0) <= now
            if known is not None and known.learned_until > now:
                return False
        return self.asked.get(group, 0.0) <= now

    def ask_one(
        self, address: str, group: bytes, variant: bytes, mine: bool
    ) -> bool:
        """Ask one agent; tell whether it answered."""
        self.metrics.count("kept_index_asks")
        request = messages.KeptAsk(group, variant)
        try:
            reply = self.call(address, request, ASK_TIMEOUT_S)
        except connections.WireError:
            # Guard: a peer that is gone would cost every decision the
            # whole timeout.  It is left alone for a while; without it the
            # prompt is recomputed, which is never wrong.
            self.quiet_until[address] = self.clock() + QUIET_S
            self.metrics.count("kept_index_asks_lost")
            return False
        if not isinstance(reply, messages.KeptAnswer):
            return False
        self.learn(group, reply, mine)
        return True

    def learn(
        self, group: bytes, reply: messages.KeptAnswer, mine: bool
    ) -> None:
        """Put a reply into the index in place of what was known."""
        now = self.clock()
        until = self.learned_until(mine)
        with self.index.lock:
            fresh = {block.packed for block in reply.blocks}
            known = self.index.groups.get(group)
            old = list(known.blocks) if known is not None else []
            for block in old:
                if block.packed not in fresh and not mine:
                    self.index.forget(block)
            for block in reply.blocks:
                if block.group == group:
                    self.index.add(block, now, until)
            known = self.index.groups.get(group)
            if known is not None:
                known.learned_until = until
        self.asked[group] = now + LEARNED_S
        while len(self.asked) > MAX_ASKED:
            self.asked.popitem(last=False)

    def added(self, block: state.Block) -> None:
        """Tell who keeps a group of a block that was confirmed."""
        self.queue(block.group, messages.KeptChange(added=(block,)))

    def freed(self, block: state.Block) -> None:
        """Tell who keeps a group of a block that was freed."""
        self.queue(block.group, messages.KeptChange(freed=(block.packed,)))

    def queue(self, group: bytes, change: messages.KeptChange) -> None:
        """Have a change sent to the agents that keep a group."""
        for address in self.holders(group).others:
            try:
                self.changes.put_nowait(Change(address, change))
            except queue.Full:
                # A copy that misses a change costs a recomputation at
                # worst: an import of a block that is gone fails.
                self.metrics.count("kept_changes_dropped")

    def start(self) -> None:
        """Begin to send changes."""
        self.thread.start()

    def stop(self) -> None:
        """Stop sending."""
        self.stopping.set()

    def tell(self) -> None:
        """Send changes until stopped, those for one agent together."""
        while not self.stopping.is_set():
            self.tell_once(POLL_S)

    def tell_once(self, timeout_s: float) -> None:
        """Send the changes that are waiting or come in time."""
        for address, change in self.batch(timeout_s).items():
            try:
                self.call(address, change, CHANGE_TIMEOUT_S)
            except connections.WireError:
                self.metrics.count("kept_changes_lost")

    def batch(self, timeout_s: float) -> dict[str, messages.KeptChange]:
        """Return waiting changes by the agent they are for."""
        try:
            waiting = [self.changes.get(timeout=timeout_s)]
        except queue.Empty:
            return {}
        while len(waiting) < MAX_BATCH:
            try:
                waiting.append(self.changes.get_nowait())
            except queue.Empty:
                break
        joined: dict[str, messages.KeptChange] = {}
        for item in waiting:
            before = joined.get(item.address, messages.KeptChange())
            joined[item.address] = messages.KeptChange(
                added=before.added + item.change.added,
                freed=before.freed + item.change.freed,
            )
        return joined


class Change(typing.NamedTuple):
    """A change and the agent it is for."""

    address: str
    change: messages.KeptChange


def key_of(packed: bytes) -> bytes:
    """Return the key in a packed name."""
    return state.Block(packed, 0, b"", "", "").key
