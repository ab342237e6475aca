"""Registry of endpoints, built from their entries in the store."""

from __future__ import annotations

import dataclasses
import threading
import typing

import structlog

from briarseam import clocks
from briarseam import malformed
from briarseam.discovery import model
from briarseam.discovery import starts

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.feeds import records

# A running endpoint writes an entry that lapsed during an outage of the
# store within two seconds of its end; reading it takes up to half a second.
LAPSE_HOLD_S = 2.5
# Entries are read about every second; behind a store that does not answer, an
# endpoint may have restarted with other software.
MAX_SOFTWARE_AGE_S = 3.0
log = structlog.get_logger("briarseam.discovery")

Decode = typing.Callable[[str, bytes], model.Endpoint]
OnGone = typing.Callable[[frozenset[str]], None]
OnEntry = typing.Callable[[model.Endpoint], None]


def never_outdated() -> bool:
    """Return that entries are up to date; the default."""
    return False


def ignore_entry(endpoint: model.Endpoint) -> None:
    """Ignore that an endpoint has written an entry."""
    del endpoint


@dataclasses.dataclass(frozen=True)
class LapsedEndpoint:
    """An endpoint whose entry lapsed but that may still be running.

    Attributes
    ----------
    endpoint
        The endpoint as of its last entry.
    until_s
        When it counts as gone, by the registry's clock.
    """

    endpoint: model.Endpoint
    until_s: float


class EndpointRegistry:
    """The known endpoints; listens to the topic of their entries.

    Holds one start of each endpoint: the newest that any update reported.
    Updates of earlier starts are ignored.

    Parameters
    ----------
    decode
        Decodes an entry; raises ``MalformedError`` if it is malformed.
    on_gone
        Called with the ids of starts that have ended, because the endpoint
        is gone or has restarted.
    clock
        Seconds.
    malformed_counter
        Counts malformed entries.
    on_entry
        Called with each valid entry, also if it has not changed.

    Attributes
    ----------
    may_be_outdated
        Returns whether the process was suspended since entries were read.
    """

    def __init__(
        self,
        decode: Decode,
        on_gone: OnGone,
        clock: typing.Callable[[], float] = clocks.boot_clock,
        malformed_counter: malformed.Tally | None = None,
        on_entry: OnEntry = ignore_entry,
    ) -> None:
        self.on_entry = on_entry
        self.malformed_counter = malformed_counter or malformed.Tally()
        self.decode = decode
        self.on_gone = on_gone
        self.clock = clock
        self.may_be_outdated: typing.Callable[[], bool] = never_outdated
        self.present: dict[str, model.Endpoint] = {}
        self.lapsed: dict[str, LapsedEndpoint] = {}
        self.hold_lapsed_until_s = float("-inf")
        self.last_lost_s = float("-inf")
        self.last_read_s = float("-inf")
        self.newest = starts.NewestStarts()
        self.leaving = starts.RecentIds()
        # Names whose newest start has not written an entry yet.
        self.awaiting_entry: set[str] = set()
        self.lock = threading.Lock()

    def serving(self, service: str) -> list[model.Endpoint]:
        """Return the endpoints of a service that accept new requests.

        Endpoints whose entries lapsed are returned only if there are no
        others: they may be gone, and requests sent to them would be lost.
        """
        now_s = self.clock()
        with self.lock:
            present = [
                endpoint
                for endpoint in self.present.values()
                if endpoint.service == service and not endpoint.leaving
            ]
            if present:
                return present
            return [
                lapsed.endpoint
                for lapsed in self.lapsed.values()
                if lapsed.endpoint.service == service
                and not lapsed.endpoint.leaving
                and now_s < lapsed.until_s
            ]

    def age_s(self) -> float:
        """Return the seconds since entries were last read."""
        return self.clock() - self.last_read_s

    def all(self) -> list[model.Endpoint]:
        """Return all endpoints that have an entry."""
        with self.lock:
            return list(self.present.values())

    def ids(self) -> frozenset[str]:
        """Return the ids of all starts that may be running, also lapsed."""
        with self.lock:
            known = [endpoint.id for endpoint in self.present.values()]
            known += [lapsed.endpoint.id for lapsed in self.lapsed.values()]
        return frozenset(known)

    def is_read(self) -> bool:
        """Return whether entries have been read at all."""
        return self.last_read_s > float("-inf")

    def has_ended(self, endpoint_id: str) -> bool:
        """Return whether a start has ended, as far as entries tell."""
        return self.is_read() and not self.is_known(endpoint_id)

    def is_known(self, endpoint_id: str) -> bool:
        """Return whether a start may be running, as far as entries tell."""
        name = starts.parse(endpoint_id).name
        with self.lock:
            lapsed = self.lapsed.get(name)
            known = [
                self.present.get(name),
                None if lapsed is None else lapsed.endpoint,
            ]
        return any(one is not None and one.id == endpoint_id for one in known)

    def observed_s(self, endpoint_id: str, since_s: float) -> float:
        """Return for how long a start's entry was read without a gap.

        Parameters
        ----------
        endpoint_id
            The start.
        since_s
            When to begin, by the registry's clock.

        Returns
        -------
        float
            Seconds until the last read, since the later of `since_s` and the
            store's last outage; 0 if the start has no entry.
        """
        name = starts.parse(endpoint_id).name
        with self.lock:
            present = self.present.get(name)
        if present is None or present.id != endpoint_id:
            return 0.0
        begin_s = max(since_s, self.last_lost_s)
        return max(0.0, self.last_read_s - begin_s)

    def software_of(self, endpoint: model.Endpoint) -> str | None:
        """Return the software version of a start; ``None`` if not sure.

        An endpoint that keeps its name over restarts may run other software
        since its entry was read.  One without a birth has a new name then.
        """
        if not self.is_known(endpoint.id):
            return None
        if endpoint.start.born_ms == starts.UNKNOWN_MS:
            return endpoint.software
        if self.may_be_outdated():
            return None
        is_current = self.last_lost_s < self.last_read_s
        if not is_current or self.age_s() > MAX_SOFTWARE_AGE_S:
            return None
        return endpoint.software

    def store_lost(self) -> None:
        """Hold entries that lapse during or shortly after the outage."""
        self.last_lost_s = self.clock()
        self.hold_lapsed_until_s = self.last_lost_s + LAPSE_HOLD_S

    def apply_all(
        self, changes: collections.abc.Sequence[records.KeyedRecord]
    ) -> None:
        """Replace all entries; endpoints without one are gone."""
        listed = {change.key for change in changes if change.value}
        with self.lock:
            missing = self.present.keys() - listed
        for key in missing:
            self.remove(key)
        self.apply_entries(changes, is_new=False)

    def apply_changes(
        self, changes: collections.abc.Sequence[records.KeyedRecord]
    ) -> None:
        """Apply changed entries, in the order in which they were written."""
        self.apply_entries(changes, is_new=True)

    def apply_entries(
        self,
        changes: collections.abc.Sequence[records.KeyedRecord],
        is_new: bool,
    ) -> None:
        """Apply entries; unless they are new, their order means nothing."""
        self.last_read_s = self.clock()
        for change in changes:
            if change.value is None:
                self.remove(change.key)
            else:
                self.apply_entry(change.key, change.value, is_new)
        self.forget_lapsed()

    def remove_former(self, endpoint: model.Endpoint) -> None:
        """Remove the endpoint whose address a new one has.

        Guard: a restarted endpoint has a new name, and the entry of its
        former start lapses only seconds later, or after an outage of the
        store.  It would seem idle, attract requests and answer none.
        """
        with self.lock:
            former = [
                known.start.name
                for known in self.present.values()
                if known.address == endpoint.address
                and known.start.name != endpoint.start.name
            ]
        for name in former:
            self.discard(name)

    def apply_entry(self, key: str, data: bytes, is_new: bool = False) -> None:
        """Apply one entry; a malformed one discards the endpoint.

        Parameters
        ----------
        key, data
            The entry.
        is_new
            Whether it was written after all entries that are known.
        """
        try:
            endpoint = self.decode(key, data)
        except malformed.MalformedError as error:
            self.malformed_counter.note(malformed.Kind.ENDPOINT, key, error)
            self.discard(key)
            return
        if is_new and endpoint.start.name not in self.present:
            self.remove_former(endpoint)
        self.put(endpoint)

    def discard(self, key: str) -> None:
        """Remove an endpoint whose entry was overwritten by a malformed one.

        The endpoint is not held as after an outage: an entry that lapsed
        is written again by a running endpoint, but a malformed entry stays
        in the store and describes none.
        """
        with self.lock:
            known = self.present.pop(key, None)
            lapsed = self.lapsed.pop(key, None)
            self.awaiting_entry.discard(key)
        if known is None and lapsed is not None:
            known = lapsed.endpoint
        if known is None:
            return
        log.info("endpoint_gone", endpoint=known.id, held=False)
        self.on_gone(frozenset({known.id}))

    def put(self, endpoint: model.Endpoint) -> None:
        """Add or update an endpoint.

        Guard: an entry that a start wrote before it died may reach the
        store after the entry of the next start.  If applied, it would
        restore the address and weights of the dead start.
        """
        name = endpoint.start.name
        with self.lock:
            start = self.newest.resolve(endpoint.start)
            if start is None:
                log.info("entry_outdated", endpoint=endpoint.id)
                return
            if endpoint.id != start.id:
                endpoint = dataclasses.replace(endpoint, id=start.id)
            if endpoint.id in self.leaving:
                endpoint = as_leaving(endpoint)
            known = self.present.get(name)
            ended = self.other_starts(start)
            self.present[name] = endpoint
            self.lapsed.pop(name, None)
            self.awaiting_entry.discard(name)
        self.on_entry(endpoint)
        if known is None:
            log.info(
                "endpoint_found",
                endpoint=endpoint.id,
                service=endpoint.service,
                address=endpoint.address,
                zone=endpoint.zone,
                leaving=endpoint.leaving,
            )
        elif known != endpoint or known.versions != endpoint.versions:
            log.info(
                "endpoint_changed",
                endpoint=endpoint.id,
                leaving=endpoint.leaving,
                versions=endpoint.versions,
            )
        self.end_starts(ended)

    def apply_start(self, start: starts.Start) -> bool:
        """Apply a start whose entry is not read yet; return if it is new."""
        with self.lock:
            if self.newest.resolve(start) != start:
                return False
            ended = self.other_starts(start)
            if not ended:
                return False
            known = self.present.get(start.name)
            if known is not None:
                self.present[start.name] = as_restarted(known, start)
            lapsed = self.lapsed.get(start.name)
            if lapsed is not None:
                self.lapsed[start.name] = dataclasses.replace(
                    lapsed, endpoint=as_restarted(lapsed.endpoint, start)
                )
            self.awaiting_entry.add(start.name)
        self.end_starts(ended)
        return True

    def apply_leaving(self, start: starts.Start) -> bool:
        """Apply that a start has said that it leaves; return if it is new.

        It holds for that start whatever its entries say, and also once they
        are gone: an entry that was written before, or comes back with a
        store that was restored, would make it get requests again.
        """
        if start.id in self.leaving:
            return False
        with self.lock:
            self.leaving.add(start.id)
            known = self.present.get(start.name)
            if known is not None and known.id == start.id:
                self.present[start.name] = as_leaving(known)
            lapsed = self.lapsed.get(start.name)
            if lapsed is not None and lapsed.endpoint.id == start.id:
                self.lapsed[start.name] = dataclasses.replace(
                    lapsed, endpoint=as_leaving(lapsed.endpoint)
                )
        log.info("endpoint_leaving", endpoint=start.id)
        return True

    def other_starts(self, start: starts.Start) -> frozenset[str]:
        """Return the known ids of other starts; requires the lock."""
        known = [self.present.get(start.name)]
        if start.name in self.lapsed:
            known.append(self.lapsed[start.name].endpoint)
        return frozenset(
            endpoint.id
            for endpoint in known
            if endpoint is not None and endpoint.id != start.id
        )

    def end_starts(self, ended: frozenset[str]) -> None:
        """Report starts that newer starts have replaced."""
        if ended:
            log.info("endpoint_restarted", endpoints=sorted(ended))
            self.on_gone(ended)

    def remove(self, key: str) -> None:
        """Remove an endpoint whose entry was deleted or has expired.

        Guard: a restart may be known from a report while the entry of the
        former start is still about to expire.  The endpoint is therefore
        held until the entry of its new start can have been written.
        """
        now_s = self.clock()
        with self.lock:
            endpoint = self.present.pop(key, None)
            if endpoint is None:
                return
            held = (
                now_s < self.hold_lapsed_until_s or key in self.awaiting_entry
            )
            self.awaiting_entry.discard(key)
            if held:
                self.lapsed[key] = LapsedEndpoint(
                    endpoint, now_s + LAPSE_HOLD_S
                )
        log.info("endpoint_gone", endpoint=endpoint.id, held=held)
        if not held:
            self.on_gone(frozenset({endpoint.id}))

    def forget_lapsed(self) -> None:
        """Remove endpoints whose entries were not written again in time."""
        now_s = self.clock()
        with self.lock:
            expired = {
                key: lapsed.endpoint.id
                for key, lapsed in self.lapsed.items()
                if lapsed.until_s <= now_s
            }
            for key in expired:
                del self.lapsed[key]
            gone = frozenset(expired.values())
        if gone:
            log.info("endpoints_lapsed", endpoints=sorted(gone))
            self.on_gone(gone)


def as_leaving(endpoint: model.Endpoint) -> model.Endpoint:
    """Return an endpoint that accepts no new requests."""
    return dataclasses.replace(endpoint, leaving=True)


def as_restarted(
    endpoint: model.Endpoint, start: starts.Start
) -> model.Endpoint:
    """Return an endpoint as of a new start that has not written an entry.

    The versions of weights and software are unknown until the new start
    reports them; all else is kept from the former entry.
    """
    versions = dict.fromkeys(endpoint.versions, 0)
    return dataclasses.replace(
        endpoint, id=start.id, versions=versions, software=None
    )
