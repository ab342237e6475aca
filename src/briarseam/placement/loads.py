"""How busy each endpoint is, by this instance's work and its peers'."""

from __future__ import annotations

import dataclasses
import secrets
import threading
import typing

import msgspec

from briarseam import clocks

# A peer's numbers are summed with others' and told on, in messages that
# carry 64 bits.
MOST = 2**53
Number = typing.Annotated[int, msgspec.Meta(ge=-MOST, le=MOST)]
# Endpoint, then the numbers of its load.
Row = tuple[str, Number, Number, Number, Number]


class Told(msgspec.Struct, array_like=True):
    """All work of one instance at some moment.

    Attributes
    ----------
    life
        Random; another one for each process of the instance.  A start's
        time would not do: a clock that was set back would have a restarted
        process taken for an old one.
    sequence
        Number of changes in this life.
    rows
        Its work by endpoint.
    """

    life: int
    sequence: int
    rows: list[Row]

    def is_after(self, other: Told) -> bool:
        """Tell whether this may be newer than what was heard before."""
        return self.life != other.life or self.sequence > other.sequence


LIFE_BITS = 53
NEVER = Told(-1, 0, [])


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


@dataclasses.dataclass(frozen=True)
class CellWork:
    """Work of the instances of another cell.

    Attributes
    ----------
    loads
        By endpoint.
    instances
        How many they are.
    at_s
        When it was told.
    """

    loads: dict[str, Load]
    instances: int
    at_s: float


class Loads:
    """Own work by endpoint and what the peers told; thread-safe.

    Parameters
    ----------
    here, everywhere
        Return how many instances tell their work here, this one included,
        and how many there are.  Those whose work is not told are taken to
        have about as much each.
    clock
        Seconds.
    """

    def __init__(
        self,
        here: typing.Callable[[], int] = lambda: 1,
        everywhere: typing.Callable[[], int] = lambda: 1,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.instances_here = here
        self.instances_everywhere = everywhere
        self.clock = clock
        self.own: dict[str, Load] = {}
        self.life = secrets.randbits(LIFE_BITS)
        self.sequence = 0
        self.changed = threading.Event()
        self.heard: dict[str, Told] = {}
        self.peers: dict[str, dict[str, Load]] = {}
        self.told: dict[str, Load] = {}
        self.cells: dict[str, CellWork] = {}
        self.lock = threading.Lock()
        self.eased = threading.Condition(self.lock)

    def add(self, endpoint: str, load: Load) -> None:
        """Add to the work of this instance at an endpoint."""
        with self.lock:
            self.own[endpoint] = self.own.get(endpoint, NO_LOAD).plus(load)
            self.note_change()

    def take(self, endpoint: str, load: Load) -> None:
        """Take from the work of this instance at an endpoint."""
        with self.lock:
            left = self.own.get(endpoint, NO_LOAD).minus(load)
            if left == NO_LOAD:
                self.own.pop(endpoint, None)
            else:
                self.own[endpoint] = left
            self.note_change()
            self.eased.notify_all()

    def note_change(self) -> None:
        """Note that this instance's work has changed; under the lock."""
        self.sequence += 1
        self.changed.set()

    def wait_for_decrease(self, timeout_s: float) -> None:
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
            for cell in self.cells.values():
                if endpoint in cell.loads:
                    known = known.plus(cell.loads[endpoint])
            instances = self.instances_here() + sum(
                cell.instances for cell in self.cells.values()
            )
        share = instances / max(self.instances_everywhere(), 1)
        return known if share >= 1.0 else known.times(1.0 / share)

    def here(self) -> dict[str, Load]:
        """Return the work of this cell at each endpoint."""
        with self.lock:
            names = self.own.keys() | self.told.keys()
            return {
                name: self.own.get(name, NO_LOAD).plus(
                    self.told.get(name, NO_LOAD)
                )
                for name in names
            }

    def take_cell(
        self, cell: str, loads: dict[str, Load], instances: int
    ) -> None:
        """Take in the work of another cell."""
        with self.lock:
            self.cells[cell] = CellWork(loads, instances, self.clock())
            self.eased.notify_all()

    def forget_cells(self, age_s: float) -> None:
        """Forget the work of cells that were not heard of for so long."""
        oldest_s = self.clock() - age_s
        with self.lock:
            self.cells = {
                name: cell
                for name, cell in self.cells.items()
                if cell.at_s > oldest_s
            }

    def provide(self) -> bytes:
        """Return this instance's work, for its peers."""
        with self.lock:
            rows: list[Row] = [
                (
                    name,
                    load.requests,
                    load.waiting_tokens,
                    load.running,
                    load.memory_tokens,
                )
                for name, load in self.own.items()
            ]
            told = Told(self.life, self.sequence, rows)
        return msgspec.msgpack.encode(told)

    def consume(self, member: str, data: bytes) -> None:
        """Take in a peer's work, unless something newer was heard of it.

        Guard: it comes by heartbeats and by datagrams, and each may overtake
        the other.  Taken in late, work that has ended would stand until the
        peer's next change.
        """
        told = msgspec.msgpack.decode(data, type=Told)
        loads = {name: Load(*numbers) for name, *numbers in told.rows}
        with self.lock:
            if not told.is_after(self.heard.get(member, NEVER)):
                return
            self.heard[member] = Told(told.life, told.sequence, [])
            self.replace(member, loads)
            self.eased.notify_all()

    def keep_only(self, members: frozenset[str]) -> None:
        """Forget what members that are gone had told."""
        with self.lock:
            for name in self.peers.keys() - members:
                self.replace(name, {})
                del self.peers[name]
                self.heard.pop(name, None)

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
