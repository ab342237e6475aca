"""Which engines may run a prompt, and which of them are worth a look."""

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
ODD = 0x9E3779B97F4A7C15
MASK = 2**64 - 1


class Serving:
    """Engines of each model, worked out once for each configuration.

    Without it every request would look at every endpoint of every model.

    Parameters
    ----------
    renewed
        Told of each new configuration.
    """

    def __init__(self, renewed: typing.Callable[[schema.View], None]) -> None:
        self.renewed = renewed
        self.made: tuple[schema.View, dict[str, Names]] | None = None

    def names(self, view: schema.View, model: str) -> Names:
        """Return the engines that are configured to serve a model."""
        made = self.made
        if made is None or made[0] is not view:
            made = self.made = (view, engines_by_model(view))
            self.renewed(view)
        return made[1].get(model, ())


def engines_by_model(view: schema.View) -> dict[str, Names]:
    """Return the engines in service by model."""
    found: dict[str, list[str]] = {}
    for name, endpoint in view.endpoints.items():
        if endpoint.kind is not values.EndpointKind.ENGINE:
            continue
        if endpoint.state is not values.EndpointState.SERVING:
            continue
        for model in endpoint.models:
            found.setdefault(model, []).append(name)
    return {model: tuple(names) for model, names in found.items()}


def pick(
    names: list[str],
    query: state.PromptQuery,
    first_key: bytes,
    known: prefix_module.Prefixes,
    limit: int,
) -> list[str]:
    """Return the engines worth predicting for.

    All of a few; of many, those that have the start of the prompt and the
    session's own by rendezvous.

    Parameters
    ----------
    names
        Engines that may run it.
    query
        The prompt.
    first_key
        Name of its first piece, empty without one.
    known
        What engines have.
    limit
        How many are few.
    """
    if len(names) <= limit:
        return names
    holders = known.holding(names, first_key, limit) if first_key else []
    session = session_of(query)
    number = number_of(session)
    ranked = heapq.nsmallest(limit, names, lambda name: mixed(number, name))
    return list(dict.fromkeys([*holders, *ranked]))


def affinity(query: state.PromptQuery, endpoint: str) -> int:
    """Return a session's rank of an endpoint; lowest first.

    A session without a name is ranked by the start of its prompt.
    """
    return mixed(number_of(session_of(query)), endpoint)


@functools.lru_cache(maxsize=4096)
def number_of(name: str) -> int:
    """Return the hash of a session's key or an endpoint's name."""
    return xxhash.xxh64_intdigest(name.encode())


def mixed(session: int, endpoint: str) -> int:
    """Return the rank of an endpoint for the hash of a session's key.

    Both hashes are mixed by a multiplication: hashing each pair of names
    took most of a choice among a hundred engines.
    """
    return ((session ^ number_of(endpoint)) * ODD) & MASK


def session_of(query: state.PromptQuery) -> str:
    """Return the key by which a prompt's session is ranked."""
    session = query.session or (query.chain[0].hex() if query.chain else "")
    return f"{query.organisation}\0{session}"


def tie_break(name: str) -> int:
    """Return a changing order of equals, so that they share the work."""
    return xxhash.xxh64_intdigest(f"{name}{time.monotonic_ns()}".encode())


def total_slots(names: Names, predictor: predict.Predictor) -> int:
    """Return the slots of engines together, at least one."""
    return max(sum(predictor.slots(name) for name in names), 1)
