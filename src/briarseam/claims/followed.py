"""Shards that one agent follows: those that it owns and those in use."""

from __future__ import annotations

import threading
import time
import typing

from briarseam.claims import keys
from briarseam.claims import options as options_module
from briarseam.claims import shard as shard_module
from briarseam.claims import writer as writers

if typing.TYPE_CHECKING:
    from briarseam.backing import log as platform_log
    from briarseam.claims import records

REVIEW_INTERVAL_S = 2.0
# How long a shard that another agent owns is followed after its last use.
RELEASE_AFTER_S = 30.0


class FollowedShards:
    """Follows the shards that the agent owns, and others while in use.

    Parameters
    ----------
    log
        The log service.
    local_holder
        This incarnation of this agent.
    options
        Options of the claims.
    owner
        Returns the address of the agent that owns a shard; ``None`` if
        this agent owns it.
    is_alive
        Returns whether the agent that made a claim is still alive.
    """

    def __init__(
        self,
        log: platform_log.LogClient,
        local_holder: options_module.Holder,
        options: options_module.Options,
        owner: typing.Callable[[int], str | None],
        is_alive: typing.Callable[[records.Claim], bool],
    ) -> None:
        self.log = log
        self.local_holder = local_holder
        self.options = options
        self.owner = owner
        self.is_alive = is_alive
        self.window = keys.Window(int(options.window_s * 1000))
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.shards: dict[int, shard_module.Shard] = {}

    def start(self) -> None:
        """Start following the shards that this agent owns."""
        threading.Thread(target=self.run, name="claims", daemon=True).start()

    def stop_reviews(self) -> None:
        """Stop changing the set of followed shards."""
        self.stopping.set()

    def stop(self) -> None:
        """Stop following."""
        self.stopping.set()
        for shard in self.all():
            shard.stop()

    def run(self) -> None:
        """Update the set of followed shards until stopped."""
        while True:
            self.follow_own()
            self.release_unused()
            if self.stopping.wait(REVIEW_INTERVAL_S):
                return

    def follow_own(self) -> None:
        """Start following shards that this agent now owns."""
        for number in range(self.options.shards):
            if self.owner(number) is None:
                self.shard(number)

    def release_unused(self) -> None:
        """Stop following unused shards that other agents own."""
        last_use_limit = time.monotonic() - RELEASE_AFTER_S
        with self.lock:
            unused = [
                number
                for number, shard in self.shards.items()
                if shard.last_used_at < last_use_limit and not shard.is_busy()
            ]
        for number in unused:
            if self.owner(number) is not None:
                with self.lock:
                    shard = self.shards.pop(number, None)
                if shard is not None:
                    shard.stop()

    def all(self) -> list[shard_module.Shard]:
        """Return the shards followed at present."""
        with self.lock:
            return list(self.shards.values())

    def shard(self, number: int) -> shard_module.Shard:
        """Return a shard; start following it if necessary."""
        with self.lock:
            shard = self.shards.get(number)
            if shard is None:
                shard = self.new_shard(number)
                self.shards[number] = shard
                shard.start()
            shard.last_used_at = time.monotonic()
            return shard

    def new_shard(self, number: int) -> shard_module.Shard:
        """Create a shard without starting to follow it."""
        stream = writers.Stream(
            self.log,
            options_module.stream_name(number),
            self.options.shards,
            f"{self.local_holder.name}/{self.local_holder.incarnation}",
        )
        return shard_module.Shard(
            stream,
            self.window,
            self.options.batch_ms / 1000,
            self.is_alive,
        )

    def count_keys(self) -> int:
        """Return the number of keys and void attempts in memory."""
        return sum(shard.fold.size() for shard in self.all())

    def count_appends(self) -> int:
        """Return the number of records appended."""
        return sum(shard.writer.appends for shard in self.all())

    def count_halted(self) -> int:
        """Return the number of streams whose claims are halted."""
        return sum(bool(shard.halted) for shard in self.all())
