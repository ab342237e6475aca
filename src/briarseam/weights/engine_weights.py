"""Weight versions of the engines, and the engines being changed."""

from __future__ import annotations

import threading
import typing

import msgspec

from briarseam import clocks
from briarseam.weights import goals

# How long a peer's report that an engine is being changed stays valid; the
# peer may have ended since.
PEER_REPORT_TTL_S = 3.0

Version = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
AgeS = typing.Annotated[float, msgspec.Meta(ge=0, le=1e9)]
# Engines being changed; versions by engine and model; goals' ages by model.
Section = tuple[
    list[str],
    list[tuple[str, str, Version]],
    list[tuple[str, Version, AgeS]],
]
Versions = dict[tuple[str, str], int]


class EngineWeights:
    """Engines' weight versions, as known to this instance and its peers.

    Engines are identified by the ids of their starts: an engine that
    restarts may have older weights than before.

    Parameters
    ----------
    history
        Goals and when each was first seen.
    clock
        Seconds.
    """

    def __init__(
        self,
        history: goals.GoalHistory,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.history = history
        self.clock = clock
        self.changing: set[str] = set()
        self.peers_changing: dict[str, tuple[frozenset[str], float]] = {}
        self.own: Versions = {}
        self.received: Versions = {}
        self.lock = threading.Lock()

    def begin_change(self, endpoint: str) -> None:
        """Mark an engine as being changed."""
        with self.lock:
            self.changing.add(endpoint)

    def end_change(self, endpoint: str) -> None:
        """Mark an engine as no longer being changed."""
        with self.lock:
            self.changing.discard(endpoint)

    def record_version(self, endpoint: str, model: str, version: int) -> None:
        """Record an engine's weight version, unless a newer one is known."""
        with self.lock:
            key = (endpoint, model)
            self.own[key] = max(version, self.own.get(key, 0))

    def forget(self, endpoint: str) -> None:
        """Drop the versions of an engine that is gone."""
        with self.lock:
            for versions in (self.own, self.received):
                for key in [key for key in versions if key[0] == endpoint]:
                    del versions[key]

    def keep_only(self, endpoints: typing.Collection[str]) -> None:
        """Drop the versions of all other engines.

        Covers reports that were in flight when their engine was forgotten
        and recorded it again.
        """
        with self.lock:
            known = {name for name, _model in (*self.own, *self.received)}
        for name in known.difference(endpoints):
            self.forget(name)

    def version(self, endpoint: str, model: str, announced: int) -> int:
        """Return an engine's weight version.

        Parameters
        ----------
        endpoint, model
            Id of the engine, and name of the model.
        announced
            Version in the engine's own entry, which may lag.
        """
        key = (endpoint, model)
        with self.lock:
            return max(
                announced, self.own.get(key, 0), self.received.get(key, 0)
            )

    def is_changing(self, endpoint: str) -> bool:
        """Return whether an engine is being changed and takes no requests."""
        now_s = self.clock()
        with self.lock:
            if endpoint in self.changing:
                return True
            return any(
                endpoint in names and now_s < until_s
                for names, until_s in self.peers_changing.values()
            )

    def provide(self) -> bytes:
        """Return the heartbeat section for peers."""
        with self.lock:
            versions = [
                (endpoint, model, version)
                for (endpoint, model), version in self.own.items()
            ]
            changing = sorted(self.changing)
        return msgspec.msgpack.encode(
            (changing, versions, self.history.ages())
        )

    def consume(self, member: str, data: bytes) -> None:
        """Apply a peer's section; nothing of it if it is malformed."""
        changing, versions, ages = msgspec.msgpack.decode(data, type=Section)
        for model, version, age_s in ages:
            self.history.add(goals.WeightGoal(model, version), age_s)
        until_s = self.clock() + PEER_REPORT_TTL_S
        with self.lock:
            self.peers_changing[member] = (frozenset(changing), until_s)
            for endpoint, model, version in versions:
                key = (endpoint, model)
                self.received[key] = max(version, self.received.get(key, 0))
