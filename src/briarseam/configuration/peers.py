"""Fetches the configuration from other agents."""

from __future__ import annotations

import dataclasses
import threading
import typing

import xxhash

from briarseam.configuration import messages
from briarseam.configuration import snapshots
from briarseam.wire import client as clients
from briarseam.wire import connection as connections

if typing.TYPE_CHECKING:
    from briarseam.configuration import fold as folds

READERS_PER_CELL = 2
ANSWER_TIMEOUT_S = 1.5
MAX_PARTS = 4096
# The answer to a query after this offset carries the peer's offset but no
# records.
ABOVE_ANY_OFFSET = 1 << 62

Members = typing.Callable[[], typing.Mapping[str, str]]


class PeerError(Exception):
    """The peer returned no usable answer."""


def rank(name: str) -> int:
    """Return a member's sort key in the order of readers."""
    return xxhash.xxh64_intdigest(f"configuration-reader/{name}".encode())


def ranked(names: typing.Iterable[str]) -> list[str]:
    """Return the names in the order of readers."""
    return sorted(names, key=rank)


@dataclasses.dataclass
class Peers:
    """Queries peers; keeps one client for each address.

    Attributes
    ----------
    identity
        Identity of the local process.
    key
        The agents' shared key.
    members
        Returns wire addresses by name of the live members of the cell.
    other_cell_members
        Returns wire addresses by name of agents of other cells; these are
        queried only when neither the log nor the cell can answer.
    """

    identity: connections.Identity
    key: bytes
    members: Members
    other_cell_members: Members = dict
    pool: dict[str, clients.Client] = dataclasses.field(default_factory=dict)
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)

    def addresses(self) -> dict[str, str]:
        """Return the other members' addresses by name."""
        members = dict(self.members())
        members.pop(self.identity.name, None)
        return members

    def other_cell_addresses(self) -> dict[str, str]:
        """Return the addresses of agents of other cells by name."""
        known = {*self.members(), self.identity.name}
        return {
            name: address
            for name, address in self.other_cell_members().items()
            if name not in known
        }

    def address_of(self, name: str) -> str | None:
        """Return an agent's address, or ``None`` when it is unknown."""
        address = self.addresses().get(name)
        return address or self.other_cell_addresses().get(name)

    def readers(self) -> list[str]:
        """Return the names of the agents that read the log for the cell.

        While members have different views of the cell, more or fewer agents
        read the log.  Agents that receive no records read it themselves, so
        nothing else depends on agreement.
        """
        names = {*self.addresses(), self.identity.name}
        return ranked(names)[:READERS_PER_CELL]

    def fetch_records(
        self, address: str, after: int, wait_ms: int
    ) -> messages.Records:
        """Return a peer's records after ``after``.

        Raises
        ------
        PeerError
            When the peer returned no usable answer.
        """
        request = messages.FetchRecords(after, wait_ms)
        timeout_s = wait_ms / 1000 + ANSWER_TIMEOUT_S
        reply = self.call(address, request, timeout_s)
        if not isinstance(reply, messages.Records):
            raise PeerError(f"{address} answered {reply}")
        return reply

    def fetch_state(self, address: str) -> folds.Fold:
        """Return a peer's complete state.

        Raises
        ------
        PeerError
            When the peer has no state, or it changed too often during the
            transfer.
        """
        parts: list[messages.State] = []
        for _ in range(MAX_PARTS):
            request = messages.FetchState(len(parts))
            reply = self.call(address, request, ANSWER_TIMEOUT_S)
            if not isinstance(reply, messages.State) or not reply.ready:
                raise PeerError(f"{address} has no state")
            if parts and reply.offset != parts[0].offset:
                # The state changed between two parts; start again.
                parts = []
                continue
            parts.append(reply)
            if len(parts) == reply.parts:
                return join_parts(parts)
        raise PeerError(f"{address} returned no complete state")

    def highest_state(
        self, addresses: typing.Iterable[str]
    ) -> folds.Fold | None:
        """Return the state with the highest offset, ``None`` without any.

        A peer that can't return its state is skipped for the next one.
        """
        offsets: dict[str, int] = {}
        for address in addresses:
            try:
                reply = self.fetch_records(address, ABOVE_ANY_OFFSET, 0)
            except PeerError:
                continue
            if reply.ready:
                offsets[address] = reply.offset
        for address in sorted(offsets, key=offsets.__getitem__, reverse=True):
            try:
                return self.fetch_state(address)
            except PeerError:
                continue
        return None

    def call(
        self, address: str, request: typing.Any, timeout_s: float
    ) -> typing.Any:
        """Return the reply of the peer at ``address``."""
        try:
            return self.client(address).call(request, timeout_s)
        except connections.WireError as error:
            raise PeerError(str(error)) from error

    def client(self, address: str) -> clients.Client:
        """Return the client for ``address``."""
        with self.lock:
            if address not in self.pool:
                self.pool[address] = clients.Client(
                    address, self.identity, self.key, max_idle=1
                )
            return self.pool[address]

    def close(self) -> None:
        """Close all connections."""
        with self.lock:
            for client in self.pool.values():
                client.close()
            self.pool.clear()


def join_parts(parts: typing.Sequence[messages.State]) -> folds.Fold:
    """Return the fold of a state's parts."""
    data = b"".join(part.data for part in parts)
    try:
        return snapshots.unpack_state(data, parts[0].offset, parts[0].digest)
    except snapshots.SnapshotError as error:
        raise PeerError(str(error)) from error
