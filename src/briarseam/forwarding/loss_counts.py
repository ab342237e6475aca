"""Losses of requests, counted by the shared parts of their prompts.

A part of a prompt may crash each endpoint that begins to answer a prompt with
it.  No two such prompts need to be alike, so counting repeats of a request
misses them.  All shared parts of a lost prompt look alike, and each crash
also takes prompts without the crashing part along.  What tells them apart is
that the crashing part is never answered.
"""

from __future__ import annotations

import collections
import threading
import typing

import msgpack
import msgspec
import structlog

from briarseam import clocks
from briarseam.forwarding import suspicion

if typing.TYPE_CHECKING:
    import collections.abc

# How long an answer speaks for a part.
ANSWER_TTL_S = 60.0
# How long a loss counts, and a part's losses after it was last refused: while
# prompts with it go on coming, none of its losses is forgotten.
LOSS_TTL_S = 60.0
# Bounds on memory; callers choose the ids of parts.
MAX_ANSWERED = 5000
MAX_LOST = 2000
# Bounds on what heartbeats carry.
MAX_PUBLISHED = 100
MAX_PUBLISHED_ENDPOINTS = 8
NEVER_S = float("-inf")
MS = 1000
log = structlog.get_logger("briarseam.forwarding")


class LossCounts:
    """Counts losses by part, including those that peers publish.

    Thread-safe.

    Parameters
    ----------
    clock
        Seconds.

    Attributes
    ----------
    on_lost
        Called with the key of a part that this instance lost, and the
        endpoint's id.
    on_answered
        Called with the keys of parts with losses that have been answered.
    on_cleared
        Called after this instance had a suspected part answered.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.clock = clock
        self.on_lost: typing.Callable[[bytes, str], None] = ignore
        self.on_answered: typing.Callable[[set[bytes]], None] = ignore
        self.on_cleared: typing.Callable[[], None] = ignore
        # When each part was lost at an endpoint, or heard of by a peer.
        self.local: dict[bytes, dict[str, float]] = {}
        self.by_peer: dict[str, dict[bytes, dict[str, float]]] = {}
        self.peer_seen_s: dict[str, float] = {}
        self.refused_s: dict[bytes, float] = {}
        # When the last answer began; the oldest is the first.
        self.answered_s: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        # Answers that peers must hear of, by part; a later one has another
        # number.
        self.clearings: dict[bytes, int] = {}
        self.peer_clearings: dict[str, dict[bytes, int]] = {}
        self.suspicion = suspicion.Suspicion()
        self.is_outdated = False
        self.lock = threading.RLock()

    # What is learned.

    def record_answer(
        self, parts: collections.abc.Iterable[bytes], began_s: float
    ) -> None:
        """Record that an endpoint goes on after it began to answer.

        Parameters
        ----------
        parts
            Keys of the shared parts of the prompt.
        began_s
            When the first event came, by the clock.
        """
        with self.lock:
            suspected = self.current().endpoints
            cleared = self.add_answers(parts, began_s)
            for part in cleared:
                self.clearings[part] = round(self.clock() * MS)
        if not cleared:
            return
        self.on_answered(cleared)
        freed = cleared.intersection(suspected)
        if freed:
            log.info("parts_cleared", parts=[part.hex() for part in freed])
            self.on_cleared()

    def add_answers(
        self, parts: collections.abc.Iterable[bytes], began_s: float
    ) -> set[bytes]:
        """Apply answers of this instance or of a peer.

        Returns
        -------
        set[bytes]
            The parts of which all losses were before the answer.
        """
        cleared = set()
        with self.lock:
            for part in parts:
                before = self.losses_of(part)
                last_s = self.answered_s.get(part, NEVER_S)
                self.answered_s[part] = max(began_s, last_s)
                self.answered_s.move_to_end(part)
                if not before:
                    continue
                self.is_outdated = True
                lost = newer_than(self.local.get(part, {}), began_s)
                self.replace_local(part, lost)
                if not self.losses_of(part):
                    cleared.add(part)
            while len(self.answered_s) > MAX_ANSWERED:
                self.answered_s.popitem(last=False)
        return cleared

    def record_loss(self, part: bytes, endpoint: str, at_s: float) -> None:
        """Count a part that this instance lost, and publish it."""
        self.add_loss(part, endpoint, at_s)
        self.on_lost(part, endpoint)

    def add_loss(
        self, part: bytes, endpoint: str, at_s: float | None = None
    ) -> None:
        """Count a loss of this instance, or one that it is told of.

        Parameters
        ----------
        part
            Key of the part.
        endpoint
            Id of the endpoint.
        at_s
            When it was lost, by the clock; ``None`` for now.
        """
        if at_s is None:
            at_s = self.clock()
        with self.lock:
            if at_s <= self.answered_s.get(part, NEVER_S):
                return
            self.local.setdefault(part, {}).setdefault(endpoint, at_s)
            self.is_outdated = True
            if len(self.local) > MAX_LOST:
                self.drop_least_lost()

    def drop_least_lost(self) -> None:
        """Forget the part that was lost at the fewest endpoints, long ago."""
        least = min(
            self.local,
            key=lambda part: (
                len(self.local[part]),
                max(self.local[part].values()),
            ),
        )
        del self.local[least]

    def withdraw_loss(self, part: bytes, endpoint: str) -> None:
        """Forget a loss at an endpoint that turns out to go on."""
        with self.lock:
            lost = self.local.get(part, {})
            lost.pop(endpoint, None)
            self.replace_local(part, lost)
            self.is_outdated = True

    def replace_local(self, part: bytes, lost: dict[str, float]) -> None:
        """Replace the losses of a part, or drop it if there are none."""
        if lost:
            self.local[part] = lost
        else:
            self.local.pop(part, None)

    def record_refusal(self, parts: collections.abc.Iterable[bytes]) -> None:
        """Keep what speaks against parts, since prompts with them come."""
        with self.lock:
            for part in parts:
                self.refused_s[part] = self.clock()
                self.replace_local(part, self.losses_of(part))

    # What is decided.

    def is_answered(self, part: bytes) -> bool:
        """Return whether a part was answered lately."""
        answered_s = self.answered_s.get(part, NEVER_S)
        return self.clock() - answered_s < ANSWER_TTL_S

    def blamed(
        self, parts: collections.abc.Collection[bytes]
    ) -> tuple[bytes, ...]:
        """Return the parts that a lost prompt counts against.

        These are the ones that were not answered lately, if there are any.
        """
        unanswered = tuple(
            part for part in parts if not self.is_answered(part)
        )
        return unanswered or tuple(parts)

    def losses_of(self, part: bytes) -> dict[str, float]:
        """Return when a part was lost at each endpoint since its answer."""
        with self.lock:
            lost = dict(self.local.get(part, {}))
            for rows in self.by_peer.values():
                add_earliest(lost, rows.get(part, {}))
            return newer_than(lost, self.answered_s.get(part, NEVER_S))

    def endpoints_of(self, part: bytes) -> frozenset[str]:
        """Return the endpoints at which a part was lost since its answer."""
        return frozenset(self.losses_of(part))

    def last_lost_s(self, part: bytes) -> float:
        """Return when a part was last lost, by the clock."""
        return max(self.losses_of(part).values(), default=NEVER_S)

    def suspects(
        self, parts: collections.abc.Iterable[bytes]
    ) -> tuple[bytes, ...]:
        """Return which of some parts are suspected."""
        suspected = self.current().endpoints
        return tuple(part for part in parts if part in suspected)

    def explained(self) -> frozenset[str]:
        """Return the endpoints whose loss suspected parts explain."""
        return self.current().explained

    def current(self) -> suspicion.Suspicion:
        """Return the suspicion by all that is known."""
        if not self.is_outdated:
            return self.suspicion
        with self.lock:
            self.is_outdated = False
            before = self.suspicion
            after = suspicion.find_suspects(
                self.all_endpoints(), self.is_answered
            )
            self.suspicion = after
        for part in after.endpoints.keys() - before.endpoints.keys():
            log.warning(
                "part_suspected",
                part=part.hex(),
                endpoints=sorted(after.endpoints[part]),
                was_answered=self.is_answered(part),
            )
        return after

    def all_endpoints(self) -> dict[bytes, frozenset[str]]:
        """Return the endpoints at which each part was lost since its answer.

        In one pass: after an outage many parts have losses at many instances.
        """
        found: dict[bytes, dict[str, float]] = {}
        for rows in (self.local, *self.by_peer.values()):
            for part, lost in rows.items():
                add_earliest(found.setdefault(part, {}), lost)
        return {
            part: frozenset(
                newer_than(lost, self.answered_s.get(part, NEVER_S))
            )
            for part, lost in found.items()
        }

    def forget_expired(self) -> None:
        """Forget losses that count no more."""
        oldest_s = self.clock() - LOSS_TTL_S
        with self.lock:
            self.refused_s = newer_than(self.refused_s, oldest_s)
            for part in list(self.local):
                if part not in self.refused_s:
                    lost = newer_than(self.local[part], oldest_s)
                    self.replace_local(part, lost)
            # The losses of a peer that is gone count until they expire.
            for member, seen_s in list(self.peer_seen_s.items()):
                if seen_s <= oldest_s:
                    self.by_peer.pop(member, None)
                    self.peer_clearings.pop(member, None)
                    del self.peer_seen_s[member]
            oldest_ms = round(oldest_s * MS)
            self.clearings = {
                part: number
                for part, number in self.clearings.items()
                if number > oldest_ms
            }
            self.is_outdated = True

    # Exchange with peers.

    def provide(self) -> bytes:
        """Return losses for peers, encoded: suspects first, then the newest.

        Without times, so that heartbeats carry them only when they change.
        """
        suspected = self.current().endpoints
        with self.lock:
            ranked = sorted(
                self.local,
                key=lambda part: (
                    part not in suspected,
                    -len(self.local[part]),
                    -max(self.local[part].values()),
                ),
            )
            rows = [
                (part, newest(self.local[part]))
                for part in ranked[:MAX_PUBLISHED]
            ]
        packed: bytes = msgpack.packb(rows)
        return packed

    def consume(self, member: str, data: bytes) -> None:
        """Replace the losses received from a peer."""
        rows = msgspec.msgpack.decode(data, type=list[tuple[bytes, list[str]]])
        now_s = self.clock()
        with self.lock:
            known = self.by_peer.get(member, {})
            self.by_peer[member] = {
                part: {
                    endpoint: known.get(part, {}).get(endpoint, now_s)
                    for endpoint in endpoints
                }
                for part, endpoints in rows
            }
            self.peer_seen_s[member] = now_s
            self.is_outdated = True

    def provide_clearings(self) -> bytes:
        """Return which parts with losses have been answered, encoded."""
        with self.lock:
            rows = sorted(
                self.clearings.items(), key=lambda row: row[1], reverse=True
            )
        packed: bytes = msgpack.packb(rows[:MAX_PUBLISHED])
        return packed

    def consume_clearings(self, member: str, data: bytes) -> None:
        """Apply answers that a peer has had."""
        rows = msgspec.msgpack.decode(data, type=list[tuple[bytes, int]])
        with self.lock:
            known = self.peer_clearings.get(member, {})
            news = {part for part, number in rows if known.get(part) != number}
            self.peer_clearings[member] = dict(rows)
            self.add_answers(news, self.clock())
        if news:
            self.on_answered(news)


Key = typing.TypeVar("Key")


def newer_than(times_s: dict[Key, float], at_s: float) -> dict[Key, float]:
    """Return the times after another one."""
    return {key: own_s for key, own_s in times_s.items() if own_s > at_s}


def add_earliest(known: dict[str, float], others: dict[str, float]) -> None:
    """Add the times of losses; of the same loss the earlier one counts.

    A peer tells a loss later than it was known if it has adopted it.
    """
    for endpoint, at_s in others.items():
        known[endpoint] = min(at_s, known.get(endpoint, at_s))


def newest(lost: dict[str, float]) -> list[str]:
    """Return the endpoints of the newest losses, sorted by id."""
    ranked = sorted(lost, key=lambda endpoint: -lost[endpoint])
    return sorted(ranked[:MAX_PUBLISHED_ENDPOINTS])


def ignore(*args: object) -> None:
    """Do nothing; the default of the callbacks."""
