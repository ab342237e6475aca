"""How busy each endpoint is, by this instance's work and its peers'."""

from __future__ import annotations

import dataclasses
import threading

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


NO_LOAD = Load()


class Loads:
    """Own work by endpoint and what the peers told; thread-safe."""

    def __init__(self) -> None:
        self.own: dict[str, Load] = {}
        self.peers: dict[str, dict[str, Load]] = {}
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
        """Return all work known at an endpoint."""
        with self.lock:
            load = self.own.get(endpoint, NO_LOAD)
            for told in self.peers.values():
                if endpoint in told:
                    load = load.plus(told[endpoint])
            return load

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
            self.peers[member] = told
            self.eased.notify_all()

    def keep_only(self, members: frozenset[str]) -> None:
        """Forget what members that are gone had told."""
        with self.lock:
            for name in self.peers.keys() - members:
                del self.peers[name]
