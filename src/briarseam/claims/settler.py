"""Delivers settlements to the log.

Only an attempt's own agent knows how the attempt ended, so it stores the
settlement and sends it again until it has been read back from the stream.
If the agent dies first, the key stays claimed and later callers get
"unknown".
"""

from __future__ import annotations

import collections
import threading
import typing

from briarseam import backoff
from briarseam.claims import records

RETRY_S = 0.25
MAX_RETRY_S = 2.0
MAX_PENDING = 50_000
MAX_DELIVERED_AT_ONCE = 500
STOP_JOIN_S = 5.0

# Sends settlements of one shard; returns the attempts read back.
Deliver = typing.Callable[
    [int, typing.Sequence[records.Settlement]], frozenset[str]
]


class Settler:
    """Thread that delivers the settlements of one shard.

    Parameters
    ----------
    shard
        Number of the shard.
    deliver
        Sends settlements to the shard's owner and waits for them to be read
        back.
    """

    def __init__(self, shard: int, deliver: Deliver) -> None:
        self.shard = shard
        self.deliver = deliver
        self.pending: collections.OrderedDict[str, records.Settlement] = (
            collections.OrderedDict()
        )
        self.changed = threading.Condition()
        self.stopping = False
        self.dropped = 0
        self.thread = threading.Thread(
            target=self.run, name=f"settle-{shard}", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self, flush_s: float) -> None:
        """Deliver pending items for at most ``flush_s`` seconds, then stop."""
        with self.changed:
            self.changed.wait_for(lambda: not self.pending, flush_s)
            self.stopping = True
            self.changed.notify_all()
        self.thread.join(STOP_JOIN_S)

    def add(self, item: records.Settlement) -> None:
        """Queue a settlement; it replaces an earlier one of its attempt."""
        with self.changed:
            if len(self.pending) >= MAX_PENDING:
                # Dropping a settlement leaves its key claimed, which is
                # safe.
                self.pending.popitem(last=False)
                self.dropped += 1
            self.pending[item.attempt] = item
            self.changed.notify_all()

    def run(self) -> None:
        """Deliver until stopped; back off while nothing is confirmed."""
        retry_delay = backoff.Backoff(RETRY_S, MAX_RETRY_S)
        while True:
            items = self.next_items()
            if not items:
                return
            confirmed = self.deliver(self.shard, items)
            self.remove_confirmed(items, confirmed)
            if confirmed:
                retry_delay.reset()
                continue
            with self.changed:
                self.changed.wait_for(
                    lambda: self.stopping, retry_delay.next_s()
                )

    def next_items(self) -> list[records.Settlement]:
        """Wait for settlements and return some; none after a stop."""
        with self.changed:
            self.changed.wait_for(lambda: self.pending or self.stopping)
            if self.stopping:
                return []
            return list(self.pending.values())[:MAX_DELIVERED_AT_ONCE]

    def remove_confirmed(
        self,
        items: typing.Sequence[records.Settlement],
        confirmed: frozenset[str],
    ) -> None:
        """Remove what was read back, unless it has been replaced since."""
        with self.changed:
            for item in items:
                if item.attempt not in confirmed:
                    continue
                if self.pending.get(item.attempt) is item:
                    del self.pending[item.attempt]
            self.changed.notify_all()
