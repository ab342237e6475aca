"""Which prefixes each engine has in its own memory, by its cache events.

The events come late and some never come.  What is known here is a guess
that saves imports: the engine itself decides what it reuses.
"""

from __future__ import annotations

import collections
import threading
import time
import typing

import structlog

from briarseam.cache import state
from briarseam.configuration import schema
from briarseam.endpoints import engine_events

POLL_S = 1.0
IDLE_POLL_S = 4.0
RELOAD_MIN_S = 2.0
MAX_PREFIXES = 20000
log = structlog.get_logger("briarseam.cache")


class Resident:
    """The prefixes of one engine.

    Parameters
    ----------
    name, address
        The engine, as configured.
    client
        Reads its events.
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
        metrics: state.Metrics,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.name = name
        self.address = address
        self.client = client
        self.metrics = metrics
        self.clock = clock
        self.reloaded_at = -RELOAD_MIN_S
        self.boot_id = ""
        self.seq = 0
        self.lock = threading.Lock()
        self.prefixes: collections.OrderedDict[engine_events.Prefix, None] = (
            collections.OrderedDict()
        )

    def read(self) -> bool:
        """Take in new events; tell whether there were any.

        Guard: a gap in the events.  A prefix whose removal is missing
        would be believed to be there for ever, and its prompts would be
        recomputed instead of imported.  Numbers are dense, so a gap shows;
        then nothing that was known counts until all is read again.

        Raises
        ------
        EventsUnavailableError
            When the engine does not answer properly.
        """
        page = self.client.events(self.address, self.seq)
        if page.boot_id != self.boot_id or self.has_gap(page):
            if page.boot_id == self.boot_id:
                self.metrics.count("cache_event_gaps")
            self.reload(page.boot_id)
            return True
        with self.lock:
            for event in page.events:
                self.apply(event)
        self.seq = max(self.seq, page.next - 1)
        return bool(page.events)

    def has_gap(self, page: engine_events.EventPage) -> bool:
        """Tell whether an event between the last and the next is missing."""
        expected = page.next - 1 - self.seq
        return expected > 0 and len(page.events) != expected

    def reload(self, boot_id: str) -> None:
        """Read again all that the engine holds, though not too often.

        The listing is expensive for the engine; until it may be read
        again, nothing counts as known.
        """
        with self.lock:
            self.prefixes.clear()
        now = self.clock()
        if boot_id == self.boot_id and now - self.reloaded_at < RELOAD_MIN_S:
            return
        self.reloaded_at = now
        listing = self.client.listing(self.address)
        with self.lock:
            for prefix in listing.prefixes[-MAX_PREFIXES:]:
                self.prefixes[prefix] = None
        self.boot_id = listing.boot_id
        self.seq = listing.seq

    def apply(self, event: engine_events.Event) -> None:
        """Take in one event; call it under ``lock``."""
        prefix = engine_events.Prefix(event.model, event.version, event.digest)
        self.prefixes.pop(prefix, None)
        if event.added:
            self.prefixes[prefix] = None
            if len(self.prefixes) > MAX_PREFIXES:
                self.prefixes.popitem(last=False)

    def lost(self) -> None:
        """Forget everything: the engine does not answer."""
        with self.lock:
            self.prefixes.clear()
        self.boot_id = ""

    def add(self, prefixes: typing.Iterable[engine_events.Prefix]) -> None:
        """Note prefixes that an import or a run has just put there."""
        with self.lock:
            for prefix in prefixes:
                self.prefixes[prefix] = None
            while len(self.prefixes) > MAX_PREFIXES:
                self.prefixes.popitem(last=False)

    def have(
        self, model: str, version: str, digests: typing.Iterable[bytes]
    ) -> int:
        """Return how many pieces of a chain, from the first on, are there."""
        count = 0
        with self.lock:
            for digest in digests:
                prefix = engine_events.Prefix(model, version, digest)
                if prefix not in self.prefixes:
                    break
                count += 1
        return count


class Residents:
    """The prefixes of all configured engines; one thread for each.

    Parameters
    ----------
    view
        Gives the present configuration.
    metrics
        Counters.
    stopping
        Set to end the threads.
    poll_s
        Seconds between reads of an engine's events.
    """

    def __init__(
        self,
        view: typing.Callable[[], schema.View],
        metrics: state.Metrics,
        stopping: threading.Event,
        poll_s: float = POLL_S,
    ) -> None:
        self.view = view
        self.metrics = metrics
        self.stopping = stopping
        self.poll_s = poll_s
        self.client = engine_events.EventClient()
        self.by_name: dict[str, Resident] = {}

    def refresh(self) -> None:
        """Take over the configured engines."""
        wanted = {
            name: endpoint.address
            for name, endpoint in self.view().endpoints.items()
            if endpoint.kind is schema.EndpointKind.ENGINE
        }
        for name in set(self.by_name) - set(wanted):
            del self.by_name[name]
        for name, address in wanted.items():
            known = self.by_name.get(name)
            if known is None or known.address != address:
                self.follow(Resident(name, address, self.client, self.metrics))

    def follow(self, resident: Resident) -> None:
        """Follow one engine's events in a thread of its own."""
        self.by_name[resident.name] = resident
        threading.Thread(
            target=self.work,
            args=(resident,),
            name=f"events-{resident.name}",
            daemon=True,
        ).start()

    def work(self, resident: Resident) -> None:
        """Read an engine's events until it is not configured any more."""
        wait_s = self.poll_s
        while not self.stopping.is_set():
            if self.by_name.get(resident.name) is not resident:
                return
            try:
                busy = resident.read()
            except engine_events.EventsUnavailableError:
                resident.lost()
                busy = False
            idle_s = max(IDLE_POLL_S, self.poll_s)
            wait_s = self.poll_s if busy else min(2 * wait_s, idle_s)
            self.stopping.wait(wait_s)

    def have(
        self,
        endpoint: str,
        model: str,
        version: str,
        digests: typing.Iterable[bytes],
    ) -> int:
        """Return how many pieces of a chain an engine has, as far as known.

        Parameters
        ----------
        endpoint
            Name of the engine.
        model, version
            What the pieces are computed with.
        digests
            The engine's names of the chain's prefixes, in order.
        """
        resident = self.by_name.get(endpoint)
        if resident is None:
            return 0
        return resident.have(model, version, digests)

    def add(
        self,
        endpoint: str,
        model: str,
        version: str,
        digests: typing.Iterable[bytes],
    ) -> None:
        """Note prefixes that an engine has just been given."""
        resident = self.by_name.get(endpoint)
        if resident is not None:
            resident.add(
                engine_events.Prefix(model, version, digest)
                for digest in digests
            )
