"""The endpoints that serve, from the entries they keep of themselves."""

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

# Entries that lapse while the store is away are back within two seconds of
# its return if the endpoint lives; half a second is added for the reading.
LAPSE_HOLD_S = 2.5
log = structlog.get_logger("briarseam.discovery")

Decode = typing.Callable[[str, bytes], model.Endpoint]
OnGone = typing.Callable[[frozenset[str]], None]


@dataclasses.dataclass(frozen=True)
class Lapsed:
    """An endpoint whose entry vanished around an outage of the store.

    Attributes
    ----------
    endpoint
        As its last entry said.
    until_s
        When it is taken to be gone, by the registry's clock.
    """

    endpoint: model.Endpoint
    until_s: float


class EndpointRegistry:
    """Keeps the endpoints; a listener of their topic.

    Endpoints are kept by name, and there is one start of each: the newest
    that any news was of.  News of an earlier one changes nothing.

    Parameters
    ----------
    decode
        Decodes an entry; raises ``MalformedError`` for a malformed one.
    on_gone
        Called with the ids of starts that are over, because the endpoint
        is gone or has started again.
    clock
        Seconds.
    malformed_counter
        Notes malformed entries.
    """

    def __init__(
        self,
        decode: Decode,
        on_gone: OnGone,
        clock: typing.Callable[[], float] = clocks.boot_clock,
        malformed_counter: malformed.Tally | None = None,
    ) -> None:
        self.malformed_counter = malformed_counter or malformed.Tally()
        self.decode = decode
        self.on_gone = on_gone
        self.clock = clock
        self.present: dict[str, model.Endpoint] = {}
        self.lapsed: dict[str, Lapsed] = {}
        self.hold_lapsed_until_s = float("-inf")
        self.read_s = float("-inf")
        self.newest = starts.NewestStarts()
        # Names whose present start has not written an entry yet.
        self.awaited: set[str] = set()
        self.lock = threading.Lock()

    def serving(self, service: str) -> list[model.Endpoint]:
        """Return the endpoints of a service that take new work.

        Endpoints whose entry lapsed in an outage count only while no
        other is there: they may have left, and work sent to one that has
        is lost.
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
        """Return the seconds since the entries were read."""
        return self.clock() - self.read_s

    def all(self) -> list[model.Endpoint]:
        """Return all endpoints that have an entry."""
        with self.lock:
            return list(self.present.values())

    def ids(self) -> frozenset[str]:
        """Return the starts that may still be there, lapsed ones as well."""
        with self.lock:
            known = [endpoint.id for endpoint in self.present.values()]
            known += [lapsed.endpoint.id for lapsed in self.lapsed.values()]
        return frozenset(known)

    def store_lost(self) -> None:
        """Note that the store is away: entries may lapse meanwhile."""
        self.hold_lapsed_until_s = self.clock() + LAPSE_HOLD_S

    def apply_all(
        self, changes: collections.abc.Sequence[records.KeyedRecord]
    ) -> None:
        """Take in all entries; endpoints without one are gone."""
        found = {change.key for change in changes if change.value}
        with self.lock:
            missing = self.present.keys() - found
        for key in missing:
            self.remove(key)
        self.apply_changes(changes)

    def apply_changes(
        self, changes: collections.abc.Sequence[records.KeyedRecord]
    ) -> None:
        """Take in changed entries."""
        self.read_s = self.clock()
        for change in changes:
            if change.value is None:
                self.remove(change.key)
            else:
                self.take_entry(change.key, change.value)
        self.forget_lapsed()

    def take_entry(self, key: str, data: bytes) -> None:
        """Take in one entry, or that it can't be read."""
        try:
            endpoint = self.decode(key, data)
        except malformed.MalformedError as error:
            self.malformed_counter.note(malformed.Kind.ENDPOINT, key, error)
            self.discard(key)
            return
        self.put(endpoint)

    def discard(self, key: str) -> None:
        """Forget an endpoint whose entry was overwritten by a bad one.

        It is not held as one whose entry lapsed in an outage: there an
        endpoint that lives writes its entry again, here the entry stands
        and names none.
        """
        with self.lock:
            known = self.present.pop(key, None)
            lapsed = self.lapsed.pop(key, None)
            self.awaited.discard(key)
        if known is None and lapsed is not None:
            known = lapsed.endpoint
        if known is None:
            return
        log.info("endpoint_gone", endpoint=known.id, held=False)
        self.on_gone(frozenset({known.id}))

    def put(self, endpoint: model.Endpoint) -> None:
        """Take in one entry.

        Guard: an entry that a start wrote before it died may come to the
        store after that of the next one.  Taken in, it would bring back
        the address and weights of the dead start.
        """
        name = endpoint.start.name
        with self.lock:
            start = self.newest.current(endpoint.start)
            if start is None:
                log.info("entry_outdated", endpoint=endpoint.id)
                return
            if endpoint.id != start.id:
                endpoint = dataclasses.replace(endpoint, id=start.id)
            known = self.present.get(name)
            over = self.other_starts(start)
            self.present[name] = endpoint
            self.lapsed.pop(name, None)
            self.awaited.discard(name)
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
        self.end(over)

    def apply_start(self, start: starts.Start) -> bool:
        """Take in a start before its entry comes; tell if it is new here."""
        with self.lock:
            if self.newest.current(start) != start:
                return False
            over = self.other_starts(start)
            if not over:
                return False
            known = self.present.get(start.name)
            if known is not None:
                self.present[start.name] = started_again(known, start)
            lapsed = self.lapsed.get(start.name)
            if lapsed is not None:
                self.lapsed[start.name] = dataclasses.replace(
                    lapsed, endpoint=started_again(lapsed.endpoint, start)
                )
            self.awaited.add(start.name)
        self.end(over)
        return True

    def other_starts(self, start: starts.Start) -> frozenset[str]:
        """Return ids known of other starts; call it under the lock."""
        known = [self.present.get(start.name)]
        if start.name in self.lapsed:
            known.append(self.lapsed[start.name].endpoint)
        return frozenset(
            endpoint.id
            for endpoint in known
            if endpoint is not None and endpoint.id != start.id
        )

    def end(self, over: frozenset[str]) -> None:
        """Have starts forgotten that others have followed."""
        if over:
            log.info("endpoint_restarted", endpoints=sorted(over))
            self.on_gone(over)

    def remove(self, key: str) -> None:
        """Take in that an entry is no more.

        Guard: an endpoint that started again may be known from a report
        while the entry of its start before still runs out.  The new start
        is held until its own entry can be there.
        """
        now_s = self.clock()
        with self.lock:
            endpoint = self.present.pop(key, None)
            if endpoint is None:
                return
            held = now_s < self.hold_lapsed_until_s or key in self.awaited
            self.awaited.discard(key)
            if held:
                self.lapsed[key] = Lapsed(endpoint, now_s + LAPSE_HOLD_S)
        log.info("endpoint_gone", endpoint=endpoint.id, held=held)
        if not held:
            self.on_gone(frozenset({endpoint.id}))

    def forget_lapsed(self) -> None:
        """Give up endpoints whose entries did not come back."""
        now_s = self.clock()
        with self.lock:
            over = {
                key: lapsed.endpoint.id
                for key, lapsed in self.lapsed.items()
                if lapsed.until_s <= now_s
            }
            for key in over:
                del self.lapsed[key]
            gone = frozenset(over.values())
        if gone:
            log.info("endpoints_lapsed", endpoints=sorted(gone))
            self.on_gone(gone)


def started_again(
    endpoint: model.Endpoint, start: starts.Start
) -> model.Endpoint:
    """Return an endpoint whose new start has not written an entry yet.

    Of what the entry before said only the place is kept: which weights the
    new start has is not known before it says so.
    """
    versions = dict.fromkeys(endpoint.versions, 0)
    return dataclasses.replace(endpoint, id=start.id, versions=versions)
