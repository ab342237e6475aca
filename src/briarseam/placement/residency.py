"""Which parts of prompts an endpoint's memory holds, as far as known."""

from __future__ import annotations

import collections
import threading
import typing

# Part of an endpoint's memory that is taken to hold cached parts; running
# requests need the rest.
CACHED_SHARE = 0.6
UNKNOWN_CAPACITY = 100_000

PartKey = tuple[str, str]


class Residency:
    """Parts by endpoint, the least recently used forgotten first.

    A part's key is the salt under which it is cached and its id.
    """

    def __init__(self) -> None:
        self.held: dict[str, collections.OrderedDict[PartKey, int]] = {}
        self.totals: dict[str, int] = {}
        self.lock = threading.Lock()

    def held_tokens(
        self,
        endpoint: str,
        salt: str,
        parts: typing.Sequence[tuple[str, int]],
    ) -> int:
        """Return the tokens of leading parts that an endpoint holds."""
        tokens = 0
        with self.lock:
            held = self.held.get(endpoint)
            if held is None:
                return 0
            for part, length in parts:
                if (salt, part) not in held:
                    break
                tokens += length
        return tokens

    def record(
        self,
        endpoint: str,
        salt: str,
        parts: typing.Sequence[tuple[str, int]],
        capacity: int,
    ) -> None:
        """Note that an endpoint has read a prompt's parts.

        Parameters
        ----------
        endpoint
            Its id.
        salt
            Text under which they are cached.
        parts
            Ids and lengths, in order.
        capacity
            Tokens that fit into the endpoint's memory.
        """
        room = int((capacity or UNKNOWN_CAPACITY) * CACHED_SHARE)
        with self.lock:
            held = self.held.setdefault(endpoint, collections.OrderedDict())
            for part, length in parts:
                if (salt, part) not in held:
                    self.totals[endpoint] = (
                        self.totals.get(endpoint, 0) + length
                    )
                held[salt, part] = length
                held.move_to_end((salt, part))
            while self.totals[endpoint] > room and held:
                _key, length = held.popitem(last=False)
                self.totals[endpoint] -= length

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is gone or has dropped its memory."""
        with self.lock:
            self.held.pop(endpoint, None)
            self.totals.pop(endpoint, None)

    def keep_only(self, endpoints: typing.Collection[str]) -> None:
        """Forget all endpoints but these.

        An answer that was on its way when its endpoint was forgotten has
        noted it again.
        """
        with self.lock:
            over = [name for name in self.held if name not in endpoints]
        for name in over:
            self.forget(name)
