"""How busy each endpoint is, by this instance's work and its peers'."""

from __future__ import annotations

import dataclasses
import threading
import typing

import msgpack


@dataclasses.dataclass(frozen=True)
class Load:
    """Work at one endpoint.

    Attributes
    ----------
    requests
        Requests sent and not answered.
    waiting_tokens
        Prompt tokens to be read of requests without a first event.
    running
        Streams that have begun.
    memory_tokens
        Tokens of prompts and answers that its memory has to hold.
    """

    requests: int = 0
    waiting_tokens: int = 0
    running: int = 0
    memory_tokens: int = 0

    def plus(self, other: Load) -> Load:
        """Return the sum of two loads."""
        return Load(
            self.requests + other.requests,
            self.waiting_tokens + other.waiting_tokens,
            self.running + other.running,
            self.memory_tokens + other.memory_tokens,
        )

    def minus(self, other: Load) -> Load:
        """Return the difference of two loads."""
        return Load(
            self.requests - other.requests,
            self.waiting_tokens - other.waiting_tokens,
            self.running - other.running,
            self.memory_tokens - other.memory_tokens,
        )

    def times(self, factor: float) -> Load:
        """Return a multiple of this load, rounded."""
        return Load(
            round(self.requests * factor),
            round(self.waiting_tokens * factor),
            round(self.running * factor),
            round(self.memory_tokens * factor),
        )


NO_LOAD = Load()


class Loads:
    """Own work by endpoint and what the peers told; thread-safe.

    Parameters
    ----------
    share
        Returns the share of all instances whose work is known here, above
        0 and at most 1.  Peers tell their work within a cell; instances
        fall to cells by their names, so that the work of the others is
        about as much an instance.
    """

    def __init__(
        self, share: typing.Callable[[], float] = lambda: 1.0
    ) -> None:
        self.share = share
        self.own: dict[str, Load] = {}
        self.peers: dict[str, dict[str, Load]] = {}
        self.told: dict[str, Load] = {}
        self.lock = threading.Lock()
        self.eased = threading.Condition(self.lock)

    def add(self, endpoint: str, load: Load) -> None:
        """Add to the work of this instance at an endpoint."""
        with self.lock:
            self.own[endpoint] = self.own.get(endpoint, NO_LOAD).plus(load)

    def take(self, endpoint: str, load: Load) -> None:
        """Take from the work of this instance at an endpoint."""
        with self.lock:
            left = self.own.get(endpoint, NO_LOAD).minus(load)
            if left == NO_LOAD:
                self.own.pop(endpoint, None)
            else:
                self.own[endpoint] = left
            self.eased.notify_all()

    def wait_for_ease(self, timeout_s: float) -> None:
        """Wait until some work has ended, here or as a peer told."""
        with self.lock:
            self.eased.wait(timeout_s)

    def of(self, endpoint: str) -> Load:
        """Return all work at an endpoint, as far as it can be known."""
        with self.lock:
            known = self.own.get(endpoint, NO_LOAD)
            told = self.told.get(endpoint)
        if told is not None:
            known = known.plus(told)
        share = self.share()
        return known if share >= 1.0 else known.times(1.0 / share)

    def provide(self) -> bytes:
        """Return this instance's work, for its peers."""
        with self.lock:
            rows = [
                (name, *dataclasses.astuple(load))
                for name, load in self.own.items()
            ]
        packed: bytes = msgpack.packb(rows)
        return packed

    def consume(self, member: str, data: bytes) -> None:
        """Take in a peer's work."""
        told = {
            str(name): Load(*(int(number) for number in numbers))
            for name, *numbers in msgpack.unpackb(data)
        }
        with self.lock:
            self.replace(member, told)
            self.eased.notify_all()

    def keep_only(self, members: frozenset[str]) -> None:
        """Forget what members that are gone had told."""
        with self.lock:
            for name in self.peers.keys() - members:
                self.replace(name, {})
                del self.peers[name]

    def replace(self, member: str, told: dict[str, Load]) -> None:
        """Put a member's work in place of what it told before.

        Sums are kept since each request asks for those of all endpoints.
        """
        for endpoint, load in self.peers.get(member, {}).items():
            self.told[endpoint] = self.told[endpoint].minus(load)
            if self.told[endpoint] == NO_LOAD:
                del self.told[endpoint]
        for endpoint, load in told.items():
            self.told[endpoint] = self.told.get(endpoint, NO_LOAD).plus(load)
        self.peers[member] = told
