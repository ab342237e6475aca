"""Tracking which prefixes each engine has in its own memory.

Engines publish additions and removals as events, which may be late or lost.
The result is an estimate that avoids recomputation and imports; the engine
itself decides what it reuses.
"""

from __future__ import annotations

import threading
import time
import typing

from briarseam.cache import state
from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.endpoints import engine_events

POLL_S = 1.0
IDLE_POLL_S = 4.0
RELOAD_MIN_S = 2.0
MAX_READS_PER_S = 10.0
MAX_FOLLOWED = 64


class Sink(typing.Protocol):
    """Receives the prefixes that engines have."""

    def added(self, endpoint: str, prefix: engine_events.Prefix) -> None:
        """Handle a prefix that an engine has."""

    def removed(self, endpoint: str, prefix: engine_events.Prefix) -> None:
        """Handle a prefix that an engine has dropped."""

    def forget(self, endpoint: str) -> None:
        """Discard all prefixes of an engine."""


class EngineCacheFollower:
    """Follows the cache events of one engine.

    Parameters
    ----------
    name, address
        The configured engine.
    client
        Reads its events.
    sink
        Receives the prefixes.
    metrics
        Counters.
    clock
        Monotonic seconds.
    """

    def __init__(
        self,
        name: str,
        address: str,
        client: engine_events.EventClient,
        sink: Sink,
        metrics: state.Metrics,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.name = name
        self.address = address
        self.client = client
        self.sink = sink
        self.metrics = metrics
        self.clock = clock
        self.reloaded_at = -RELOAD_MIN_S
        self.boot_id = ""
        self.seq = 0

    def read(self) -> bool:
        """Apply new events; return whether there were any.

        Guard: if the event of a removal is lost, the prefix would be
        assumed to be present for ever, and its prompts would be recomputed
        instead of imported.  Event numbers are consecutive, so a gap is
        detected; all prefixes are then discarded until a reload.

        Raises
        ------
        EventsUnavailableError
            If the engine gives no valid answer.
        """
        page = self.client.events(self.address, self.seq)
        if page.boot_id != self.boot_id or self.has_gap(page):
            if page.boot_id == self.boot_id:
                self.metrics.count("cache_event_gaps")
            self.reload(page.boot_id)
            return True
        for event in page.events:
            self.apply(event)
        self.seq = max(self.seq, page.next - 1)
        return bool(page.events)

    def has_gap(self, page: engine_events.EventPage) -> bool:
        """Return whether events before the next one are missing."""
        expected = page.next - 1 - self.seq
        return expected > 0 and len(page.events) != expected

    def reload(self, boot_id: str) -> None:
        """Read the listing of the engine's prefixes, at a limited rate.

        The listing is expensive for the engine; until it may be read
        again, no prefix is assumed to be present.
        """
        self.sink.forget(self.name)
        now = self.clock()
        if boot_id == self.boot_id and now - self.reloaded_at < RELOAD_MIN_S:
            return
        self.reloaded_at = now
        listing = self.client.listing(self.address)
        for prefix in listing.prefixes:
            self.sink.added(self.name, prefix)
        self.boot_id = listing.boot_id
        self.seq = listing.seq

    def apply(self, event: engine_events.Event) -> None:
        """Pass one event to the sink."""
        prefix = engine_events.Prefix(event.model, event.version, event.digest)
        if event.added:
            self.sink.added(self.name, prefix)
        else:
            self.sink.removed(self.name, prefix)

    def mark_unreachable(self) -> None:
        """Discard all prefixes, since the engine does not answer."""
        if self.boot_id:
            self.sink.forget(self.name)
        self.boot_id = ""


class EngineCacheFollowers:
    """Follows the configured engines, with one thread for each.

    If there are more than ``MAX_FOLLOWED``, engines of this zone have
    priority, and the prefixes of the others are known only from the runs
    that are sent there.

    Parameters
    ----------
    view
        Returns the current configuration.
    sink
        Receives the prefixes.
    metrics
        Counters.
    zone
        This agent's availability zone.
    poll_s
        Seconds between reads of an engine's events.
    """

    def __init__(
        self,
        view: typing.Callable[[], schema.View],
        sink: Sink,
        metrics: state.Metrics,
        zone: str = "",
        poll_s: float = POLL_S,
    ) -> None:
        self.view = view
        self.sink = sink
        self.metrics = metrics
        self.zone = zone
        self.poll_s = poll_s
        self.stopping = threading.Event()
        self.client = engine_events.EventClient()
        self.by_name: dict[str, EngineCacheFollower] = {}
        self.thread = threading.Thread(
            target=self.watch_configuration, name="cache-events", daemon=True
        )

    def start(self) -> None:
        """Start following."""
        self.thread.start()

    def stop(self) -> None:
        """Stop following."""
        self.stopping.set()

    def watch_configuration(self) -> None:
        """Update the followed engines until stopped."""
        while not self.stopping.is_set():
            self.refresh()
            self.stopping.wait(self.poll_s)

    def refresh(self) -> None:
        """Follow exactly the configured engines."""
        followed_engines = self.followed_engines()
        for name in set(self.by_name) - set(followed_engines):
            del self.by_name[name]
        for name, address in followed_engines.items():
            follower = self.by_name.get(name)
            if follower is None or follower.address != address:
                self.follow(
                    EngineCacheFollower(
                        name, address, self.client, self.sink, self.metrics
                    )
                )

    def followed_engines(self) -> dict[str, str]:
        """Return the addresses of the engines to follow, by name."""
        engines = [
            (endpoint.zone != self.zone, name, endpoint.address)
            for name, endpoint in self.view().endpoints.items()
            if endpoint.kind is values.EndpointKind.ENGINE
        ]
        followed = sorted(engines)[:MAX_FOLLOWED]
        return {name: address for _, name, address in followed}

    def follow(self, follower: EngineCacheFollower) -> None:
        """Start the thread that follows an engine."""
        self.by_name[follower.name] = follower
        threading.Thread(
            target=self.poll,
            args=(follower,),
            name=f"events-{follower.name}",
            daemon=True,
        ).start()

    def poll(self, follower: EngineCacheFollower) -> None:
        """Read an engine's events until it is no longer configured."""
        idle_s = max(IDLE_POLL_S, self.poll_s)
        wait_s = self.poll_s
        while not self.stopping.is_set():
            if self.by_name.get(follower.name) is not follower:
                self.sink.forget(follower.name)
                return
            try:
                busy = follower.read()
            except engine_events.EventsUnavailableError:
                follower.mark_unreachable()
                busy = False
            wait_s = self.poll_s if busy else min(2 * wait_s, idle_s)
            self.stopping.wait(max(wait_s, self.min_wait_s()))

    def min_wait_s(self) -> float:
        """Return the wait that limits the total rate of reads."""
        return len(self.by_name) / MAX_READS_PER_S
