"""Parts of prompts that endpoints are known to hold in memory."""

from __future__ import annotations

import collections
import threading
import typing

# Share of an endpoint's memory assumed to hold cached parts; running requests
# need the rest.
CACHED_SHARE = 0.6
UNKNOWN_CAPACITY = 100_000
# Callers choose the ids and lengths of parts.  A part weighs its record and
# its id; all endpoints together may weigh the first, one the second at least.
MAX_WEIGHT_BYTES = 16 * 1024 * 1024
MIN_ENDPOINT_BYTES = 128 * 1024
RECORD_BYTES = 256

PartKey = tuple[str, str]


class Residency:
    """Parts held by each endpoint, with LRU eviction; thread-safe.

    A part's key consists of its salt and its id.
    """

    def __init__(self) -> None:
        self.held: dict[str, collections.OrderedDict[PartKey, int]] = {}
        self.totals: dict[str, int] = {}
        self.weights: dict[str, int] = {}
        self.lock = threading.Lock()

    def held_tokens(
        self,
        endpoint: str,
        salt: str,
        parts: typing.Sequence[tuple[str, int]],
    ) -> int:
        """Return the tokens of a prompt's leading parts that are held."""
        return self.held_by_all([(endpoint, salt)], parts)[0]

    def held_by_all(
        self,
        endpoints: typing.Iterable[tuple[str, str]],
        parts: typing.Sequence[tuple[str, int]],
    ) -> list[int]:
        """Return the tokens of a prompt's leading parts held by endpoints.

        Parameters
        ----------
        endpoints
            Id of each endpoint, and the salt of the parts there.
        parts
            Ids and lengths of the parts, in order.
        """
        with self.lock:
            return [
                leading_tokens(self.held[endpoint], salt, parts)
                if endpoint in self.held
                else 0
                for endpoint, salt in endpoints
            ]

    def record(
        self,
        endpoint: str,
        salt: str,
        parts: typing.Sequence[tuple[str, int]],
        capacity: int,
    ) -> None:
        """Record that an endpoint has prefilled a prompt's parts.

        Parameters
        ----------
        endpoint
            Id of the endpoint.
        salt
            Salt of the parts.
        parts
            Ids and lengths, in order.
        capacity
            Tokens that fit into the endpoint's memory; 0 if unknown.
        """
        max_tokens = int((capacity or UNKNOWN_CAPACITY) * CACHED_SHARE)
        with self.lock:
            held = self.held.setdefault(endpoint, collections.OrderedDict())
            tokens = self.totals.get(endpoint, 0)
            weight = self.weights.get(endpoint, 0)
            max_weight = max(
                MIN_ENDPOINT_BYTES, MAX_WEIGHT_BYTES // len(self.held)
            )
            for part, length in parts:
                if (salt, part) not in held:
                    tokens += length
                    weight += weight_of(part)
                held[salt, part] = length
                held.move_to_end((salt, part))
            while held and (tokens > max_tokens or weight > max_weight):
                (_salt, part), length = held.popitem(last=False)
                tokens -= length
                weight -= weight_of(part)
            self.totals[endpoint] = tokens
            self.weights[endpoint] = weight

    def forget(self, endpoint: str) -> None:
        """Drop an endpoint that is gone or has lost its memory."""
        with self.lock:
            self.held.pop(endpoint, None)
            self.totals.pop(endpoint, None)
            self.weights.pop(endpoint, None)

    def keep_only(self, endpoints: typing.Collection[str]) -> None:
        """Drop all endpoints but these.

        An answer that arrives after its endpoint was dropped records the
        endpoint again.
        """
        with self.lock:
            removed = [name for name in self.held if name not in endpoints]
        for name in removed:
            self.forget(name)


def weight_of(part: str) -> int:
    """Return the memory that a part's record takes, in bytes."""
    return RECORD_BYTES + len(part)


def leading_tokens(
    held: typing.Container[PartKey],
    salt: str,
    parts: typing.Sequence[tuple[str, int]],
) -> int:
    """Return the tokens of the leading parts that are held."""
    tokens = 0
    for part, length in parts:
        if (salt, part) not in held:
            break
        tokens += length
    return tokens
