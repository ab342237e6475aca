"""Which weights each engine has, and which engines are being changed."""

from __future__ import annotations

import threading
import typing

import msgspec

from briarseam import clocks
from briarseam.weights import goals

# A peer's word that an engine is being changed counts no longer than this
# after it was last told: the peer may be gone.
PEER_REPORT_TTL_S = 3.0

Version = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
AgeS = typing.Annotated[float, msgspec.Meta(ge=0, le=1e9)]
# Engines being changed; weights by engine and model; goals' ages by model.
Told = tuple[
    list[str],
    list[tuple[str, str, Version]],
    list[tuple[str, Version, AgeS]],
]
Versions = dict[tuple[str, str], int]


class EngineWeights:
    """What this instance and its peers know of engines' weights.

    Engines are known by the ids of their starts: one that starts again may
    have older weights than before, and is behind from then on.

    Parameters
    ----------
    history
        Goals and since when they are known.
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
        self.told: Versions = {}
        self.lock = threading.Lock()

    def begin_change(self, endpoint: str) -> None:
        """Note that an engine is about to be changed."""
        with self.lock:
            self.changing.add(endpoint)

    def end_change(self, endpoint: str) -> None:
        """Note that an engine is no longer being changed."""
        with self.lock:
            self.changing.discard(endpoint)

    def record_version(self, endpoint: str, model: str, version: int) -> None:
        """Note which weights an engine has; older news is dropped."""
        with self.lock:
            key = (endpoint, model)
            self.own[key] = max(version, self.own.get(key, 0))

    def forget(self, endpoint: str) -> None:
        """Forget an engine that is gone."""
        with self.lock:
            for versions in (self.own, self.told):
                for key in [key for key in versions if key[0] == endpoint]:
                    del versions[key]

    def keep_only(self, endpoints: typing.Collection[str]) -> None:
        """Forget all engines but these.

        A report or a peer's word that was on its way when its engine was
        forgotten has noted it again.
        """
        with self.lock:
            known = {name for name, _model in (*self.own, *self.told)}
        for name in known.difference(endpoints):
            self.forget(name)

    def version(self, endpoint: str, model: str, announced: int) -> int:
        """Return an engine's weights.

        Parameters
        ----------
        endpoint, model
            Which.
        announced
            What the engine's own entry says, which lags.
        """
        key = (endpoint, model)
        with self.lock:
            return max(announced, self.own.get(key, 0), self.told.get(key, 0))

    def is_changing(self, endpoint: str) -> bool:
        """Tell whether an engine is being changed, so takes no work."""
        now_s = self.clock()
        with self.lock:
            if endpoint in self.changing:
                return True
            return any(
                endpoint in names and now_s < until_s
                for names, until_s in self.peers_changing.values()
            )

    def provide(self) -> bytes:
        """Return what peers should know."""
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
        """Take in what a peer knows; nothing of it if it is malformed."""
        changing, versions, ages = msgspec.msgpack.decode(data, type=Told)
        for model, version, age_s in ages:
            self.history.add(goals.WeightGoal(model, version), age_s)
        until_s = self.clock() + PEER_REPORT_TTL_S
        with self.lock:
            self.peers_changing[member] = (frozenset(changing), until_s)
            for endpoint, model, version in versions:
                key = (endpoint, model)
                self.told[key] = max(version, self.told.get(key, 0))
