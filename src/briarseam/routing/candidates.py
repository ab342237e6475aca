"""Engines that may run a prompt, and those of them worth a prediction."""

from __future__ import annotations

import functools
import heapq
import time
import typing

import xxhash

from briarseam.configuration import schema
from briarseam.configuration import values

if typing.TYPE_CHECKING:
    from briarseam.routing import predict
    from briarseam.routing import prefixes as prefix_module
    from briarseam.routing import state

Names = tuple[str, ...]
HASH_MULTIPLIER = 0x9E3779B97F4A7C15
HASH_MASK = 2**64 - 1


class EnginesByModel:
    """Engines of each model, cached for the current configuration.

    Avoids a scan of all endpoints for each request.

    Parameters
    ----------
    on_change
        Called with each new configuration.
    """

    def __init__(
        self, on_change: typing.Callable[[schema.View], None]
    ) -> None:
        self.on_change = on_change
        self.cached: tuple[schema.View, dict[str, Names]] | None = None

    def names(self, view: schema.View, model: str) -> Names:
        """Return the engines that are configured to serve a model."""
        cached = self.cached
        if cached is None or cached[0] is not view:
            cached = self.cached = (view, engines_by_model(view))
            self.on_change(view)
        return cached[1].get(model, ())


def engines_by_model(view: schema.View) -> dict[str, Names]:
    """Return the engines in service by model."""
    engines: dict[str, list[str]] = {}
    for name, endpoint in view.endpoints.items():
        if endpoint.kind is not values.EndpointKind.ENGINE:
            continue
        if not view.is_serving(endpoint):
            continue
        for model in endpoint.models:
            engines.setdefault(model, []).append(name)
    return {model: tuple(names) for model, names in engines.items()}


def pick(
    names: list[str],
    query: state.PromptQuery,
    first_key: bytes,
    prefixes: prefix_module.Prefixes,
    limit: int,
) -> list[str]:
    """Return the engines to predict for.

    Up to ``limit`` engines are all returned.  Of more, those are returned
    that have the start of the prompt, and those that rank first for the
    session by rendezvous hashing.

    Parameters
    ----------
    names
        Engines that may run the prompt.
    query
        The prompt.
    first_key
        Prefix key of the prompt's first piece, empty if it has none.
    prefixes
        Known prefixes of the engines.
    limit
        Maximum number of engines of each of the two kinds.
    """
    if len(names) <= limit:
        return names
    holders = prefixes.holding(names, first_key, limit) if first_key else []
    session = session_key(query)
    session_hash = hash_of(session)
    ranked = heapq.nsmallest(
        limit, names, lambda name: rendezvous_rank(session_hash, name)
    )
    return list(dict.fromkeys([*holders, *ranked]))


def affinity(query: state.PromptQuery, endpoint: str) -> int:
    """Return the rank of an endpoint for a session; lowest is best.

    A session without a name is ranked by the start of its prompt.
    """
    return rendezvous_rank(hash_of(session_key(query)), endpoint)


@functools.lru_cache(maxsize=4096)
def hash_of(name: str) -> int:
    """Return the hash of a session key or of an endpoint's name."""
    return xxhash.xxh64_intdigest(name.encode())


def rendezvous_rank(session_hash: int, endpoint: str) -> int:
    """Return the rank of an endpoint for the hash of a session key.

    Combines the two hashes by a multiplication: hashing each pair of names
    would dominate the time of a choice among a hundred engines.
    """
    return ((session_hash ^ hash_of(endpoint)) * HASH_MULTIPLIER) & HASH_MASK


def session_key(query: state.PromptQuery) -> str:
    """Return the key by which a prompt's session is ranked."""
    session = query.session or (query.chain[0].hex() if query.chain else "")
    return f"{query.organisation}\0{session}"


def tie_break(name: str) -> int:
    """Return a time-dependent hash that spreads requests over equals."""
    return xxhash.xxh64_intdigest(f"{name}{time.monotonic_ns()}".encode())


def total_slots(names: Names, predictor: predict.Predictor) -> int:
    """Return the total number of slots of the engines, at least one."""
    return max(sum(predictor.slots(name) for name in names), 1)
