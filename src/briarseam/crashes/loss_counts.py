"""Losses with endpoints, counted by repeated request and by part of a prompt.

A request may crash each endpoint that runs it, and its caller sends it again.
A part of a prompt may do the same, and no two prompts with it need to be
alike.  All parts of a lost prompt look alike, and each crash also takes along
what ran beside it.  What tells them apart is that the cause is never answered.
"""

from __future__ import annotations

import collections
import threading
import typing

import msgpack
import msgspec
import structlog

from briarseam import clocks
from briarseam.crashes import loss_keys
from briarseam.crashes import loss_times
from briarseam.crashes import suspicion

if typing.TYPE_CHECKING:
    import collections.abc

# How long an answer speaks for a key.
ANSWER_TTL_S = 60.0
# How long a loss counts, and a key's losses after it was last refused: while
# requests with it go on coming, none of its losses is forgotten.
LOSS_TTL_S = 3600.0
# Bounds on memory; callers choose their requests and the ids of parts.
MAX_ANSWERED = 10_000
MAX_LOST = 2000
# Bounds on what heartbeats carry.
MAX_PUBLISHED = 100
NEVER_S = float("-inf")
MS = 1000
log = structlog.get_logger("briarseam.forwarding")


class LossCounts:
    """Counts losses by key, including those that peers publish.

    Thread-safe.

    Parameters
    ----------
    clock
        Seconds.

    Attributes
    ----------
    on_lost
        Called with a key that this instance lost, and the endpoint's id.
    on_answered
        Called with keys with losses that have been answered.
    on_cleared
        Called after this instance had a suspect answered.
    is_ended
        Returns whether an endpoint has ended, as far as is known.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.clock = clock
        self.on_lost: typing.Callable[[bytes, str], None] = ignore
        self.on_answered: typing.Callable[[set[bytes]], None] = ignore
        self.on_cleared: typing.Callable[[], None] = ignore
        self.is_ended: typing.Callable[[str], bool] = is_never_ended
        # When each key was lost at an endpoint, or heard of by a peer.
        self.local: dict[bytes, dict[str, float]] = {}
        self.by_peer: dict[str, dict[bytes, dict[str, float]]] = {}
        self.peer_seen_s: dict[str, float] = {}
        self.refused_s: dict[bytes, float] = {}
        # Which losses the last answer clears; the oldest answer is the first.
        self.answered_s: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        # Answers that peers must hear of, by key; a later one has another
        # number.
        self.clearings: dict[bytes, int] = {}
        self.peer_clearings: dict[str, dict[bytes, int]] = {}
        self.suspicion = suspicion.Suspicion()
        self.is_outdated = False
        self.lock = threading.RLock()

    # What is learned.

    def record_answer(
        self, keys: collections.abc.Iterable[bytes], at_s: float
    ) -> None:
        """Record that an endpoint goes on after it answered.

        Parameters
        ----------
        keys
            Keys of the request or of the shared parts of its prompt.
        at_s
            Losses before this time, by the clock, are cleared.
        """
        with self.lock:
            suspected = self.current().endpoints
            cleared = self.add_answers(keys, at_s)
            for key in cleared:
                self.clearings[key] = round(self.clock() * MS)
        if not cleared:
            return
        self.on_answered(cleared)
        freed = cleared.intersection(suspected)
        if freed:
            log.info("parts_cleared", parts=[key.hex() for key in freed])
            self.on_cleared()

    def add_answers(
        self, keys: collections.abc.Iterable[bytes], at_s: float
    ) -> set[bytes]:
        """Apply answers of this instance or of a peer.

        Returns
        -------
        set[bytes]
            The keys of which all losses were before the answer.
        """
        cleared = set()
        with self.lock:
            for key in keys:
                before = self.losses_of(key)
                last_s = self.answered_s.get(key, NEVER_S)
                self.answered_s[key] = max(at_s, last_s)
                self.answered_s.move_to_end(key)
                if not before:
                    continue
                self.is_outdated = True
                lost = loss_times.newer_than(self.local.get(key, {}), at_s)
                self.replace_local(key, lost)
                if not self.losses_of(key):
                    cleared.add(key)
            while len(self.answered_s) > MAX_ANSWERED:
                self.answered_s.popitem(last=False)
        return cleared

    def record_loss(self, key: bytes, endpoint: str, at_s: float) -> None:
        """Count a key that this instance lost, and publish it."""
        self.add_loss(key, endpoint, at_s)
        self.on_lost(key, endpoint)

    def add_loss(
        self, key: bytes, endpoint: str, at_s: float | None = None
    ) -> None:
        """Count a loss of this instance, or one that it is told of.

        Parameters
        ----------
        key
            Key of the request or part.
        endpoint
            Id of the endpoint.
        at_s
            When it was lost, by the clock; ``None`` for now.
        """
        if at_s is None:
            at_s = self.clock()
        with self.lock:
            if at_s <= self.answered_s.get(key, NEVER_S):
                return
            self.local.setdefault(key, {}).setdefault(endpoint, at_s)
            self.is_outdated = True
            if len(self.local) > MAX_LOST:
                self.drop_least_lost()

    def drop_least_lost(self) -> None:
        """Forget the key that was lost at the fewest endpoints, long ago."""
        least = min(
            self.local,
            key=lambda key: (
                len(self.local[key]),
                max(self.local[key].values()),
            ),
        )
        del self.local[least]

    def withdraw_loss(self, key: bytes, endpoint: str) -> None:
        """Forget a loss at an endpoint that turns out to go on."""
        with self.lock:
            lost = self.local.get(key, {})
            lost.pop(endpoint, None)
            self.replace_local(key, lost)
            self.is_outdated = True

    def replace_local(self, key: bytes, lost: dict[str, float]) -> None:
        """Replace the losses of a key, or drop it if there are none."""
        if lost:
            self.local[key] = lost
        else:
            self.local.pop(key, None)

    def record_refusal(self, keys: collections.abc.Iterable[bytes]) -> None:
        """Keep what speaks against keys, since requests with them come."""
        with self.lock:
            for key in keys:
                self.refused_s[key] = self.clock()
                self.replace_local(key, self.losses_of(key))

    # What is decided.

    def is_answered(self, key: bytes) -> bool:
        """Return whether a key was answered lately."""
        answered_s = self.answered_s.get(key, NEVER_S)
        return self.clock() - answered_s < ANSWER_TTL_S

    def blamed(
        self, keys: collections.abc.Collection[bytes]
    ) -> tuple[bytes, ...]:
        """Return the parts that a lost prompt counts against.

        These are the ones that were not answered lately, if there are any.
        """
        unanswered = tuple(key for key in keys if not self.is_answered(key))
        return unanswered or tuple(keys)

    def losses_of(self, key: bytes) -> dict[str, float]:
        """Return when a key was lost at each endpoint since its answer."""
        with self.lock:
            lost = dict(self.local.get(key, {}))
            for rows in self.by_peer.values():
                loss_times.add_earliest(lost, rows.get(key, {}))
            return loss_times.newer_than(
                lost, self.answered_s.get(key, NEVER_S)
            )

    def endpoints_of(self, key: bytes) -> frozenset[str]:
        """Return the endpoints at which a key was lost since its answer."""
        return frozenset(self.losses_of(key))

    def last_lost_s(self, key: bytes) -> float:
        """Return when a key was last lost, by the clock."""
        return max(self.losses_of(key).values(), default=NEVER_S)

    def suspects(
        self, keys: collections.abc.Collection[bytes]
    ) -> tuple[bytes, ...]:
        """Return the suspects among the keys of a request."""
        current = self.current()
        return tuple(
            key
            for key in keys
            if key in current.endpoints
            and not (
                loss_keys.is_request(key) and current.is_explained(key, keys)
            )
        )

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
        for key in after.endpoints.keys() - before.endpoints.keys():
            self.log_suspect(key, after.endpoints[key])
        return after

    def log_suspect(self, key: bytes, endpoints: frozenset[str]) -> None:
        """Log that a request or a part is suspected from now on."""
        event, field = "part_suspected", "part"
        if loss_keys.is_request(key):
            event, field = "request_condemned", "digest"
        log.warning(
            event,
            **{field: key.hex()},
            endpoints=sorted(endpoints),
            was_answered=self.is_answered(key),
        )

    def all_endpoints(self) -> dict[bytes, frozenset[str]]:
        """Return the endpoints at which each key was lost since its answer.

        In one pass: after an outage many keys have losses at many instances.
        """
        found: dict[bytes, dict[str, float]] = {}
        for rows in (self.local, *self.by_peer.values()):
            for key, lost in rows.items():
                loss_times.add_earliest(found.setdefault(key, {}), lost)
        return {
            key: frozenset(
                loss_times.newer_than(lost, self.answered_s.get(key, NEVER_S))
            )
            for key, lost in found.items()
        }

    def forget_expired(self) -> None:
        """Forget losses that count no more."""
        oldest_s = self.clock() - LOSS_TTL_S
        with self.lock:
            self.refused_s = loss_times.newer_than(self.refused_s, oldest_s)
            for key in list(self.local):
                if key not in self.refused_s:
                    lost = loss_times.newer_than(self.local[key], oldest_s)
                    self.replace_local(key, lost)
            # The losses of a peer that is gone count until they expire.
            for member, seen_s in list(self.peer_seen_s.items()):
                if seen_s <= oldest_s:
                    self.by_peer.pop(member, None)
                    self.peer_clearings.pop(member, None)
                    del self.peer_seen_s[member]
            oldest_ms = round(oldest_s * MS)
            self.clearings = {
                key: number
                for key, number in self.clearings.items()
                if number > oldest_ms
            }
            self.is_outdated = True

    # Exchange with peers, and records.

    def lost(self) -> loss_times.Lost:
        """Return when each key was lost at each endpoint."""
        with self.lock:
            return {
                (key, endpoint): at_s
                for key, lost in self.local.items()
                for endpoint, at_s in lost.items()
            }

    def cleared_s(self) -> list[tuple[bytes, float]]:
        """Return keys with losses that were answered, and when, by the clock.

        The newest come first.
        """
        with self.lock:
            cleared = [(key, ms / MS) for key, ms in self.clearings.items()]
        return sorted(cleared, key=lambda row: -row[1])

    def provide(self) -> bytes:
        """Return losses for peers, encoded: suspects first, then the newest.

        Without times, so that heartbeats carry them only when they change.
        """
        suspected = self.current().endpoints
        with self.lock:
            ranked = sorted(
                self.local,
                key=lambda key: (
                    key not in suspected,
                    -len(self.local[key]),
                    -max(self.local[key].values()),
                ),
            )
            rows = [
                (key, loss_times.newest(self.local[key]))
                for key in ranked[:MAX_PUBLISHED]
            ]
        packed: bytes = msgpack.packb(rows)
        return packed

    def consume(self, member: str, data: bytes) -> None:
        """Replace the losses received from a peer.

        Those at endpoints that have ended are never withdrawn.  They are
        taken over, since a peer that restarts has forgotten them.
        """
        rows = msgspec.msgpack.decode(data, type=list[tuple[bytes, list[str]]])
        now_s = self.clock()
        with self.lock:
            known = self.by_peer.get(member, {})
            self.by_peer[member] = {
                key: {
                    endpoint: known.get(key, {}).get(endpoint, now_s)
                    for endpoint in endpoints
                }
                for key, endpoints in rows
            }
            self.peer_seen_s[member] = now_s
            self.is_outdated = True
            for key, endpoints in rows:
                news = set(endpoints) - known.get(key, {}).keys()
                for endpoint in filter(self.is_ended, news):
                    self.add_loss(key, endpoint)

    def provide_clearings(self) -> bytes:
        """Return which keys with losses have been answered, encoded."""
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
            news = {key for key, number in rows if known.get(key) != number}
            self.peer_clearings[member] = dict(rows)
            self.add_answers(news, self.clock())
        if news:
            self.on_answered(news)


def ignore(*args: object) -> None:
    """Do nothing; the default of the callbacks."""


def is_never_ended(endpoint: str) -> bool:
    """Return that no endpoint has ended; the default of ``is_ended``."""
    del endpoint
    return False
