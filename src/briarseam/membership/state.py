"""State of the agents of a cell."""

from __future__ import annotations

import dataclasses
import enum
import secrets
import time
import types
import typing

INCARNATION_RANDOM_BITS = 16
NO_CONTACT_S = float("inf")


class MemberState(enum.StrEnum):
    """State of a member as the local agent sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(frozen=True)
class LocalAgent:
    """The local agent, as configured in its settings.

    Attributes
    ----------
    name
        The instance's name.
    zone
        Its availability zone.
    agent_address
        ``ip:port`` where other agents reach it.
    entry_addresses
        ``ip:port`` of its entry processes, for callers.
    """

    name: str
    zone: str
    agent_address: str
    entry_addresses: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Member:
    """One agent of a cell.

    Attributes
    ----------
    name, zone, agent_address, entry_addresses
        As in :class:`LocalAgent`.
    cell
        ``ZONE/PART``.
    state
        Its state as the local agent sees it.
    silent_s
        Seconds between its last direct contact and the snapshot.
    incarnation
        Number that increases with each start of the process.
    sections
        Content of its heartbeats' sections, by section name.
    """

    name: str
    zone: str
    cell: str
    agent_address: str
    entry_addresses: tuple[str, ...]
    state: MemberState
    silent_s: float = 0.0
    incarnation: int = 0
    sections: typing.Mapping[str, bytes] = dataclasses.field(
        default_factory=dict, hash=False
    )


@dataclasses.dataclass
class PeerRecord:
    """The table's record of one peer.

    Attributes
    ----------
    listed_address
        Address on the instance list; empty when not on the list.
    listed_leaving
        Whether the instance list shows it as leaving.
    announced_leaving
        Whether it reported itself as leaving; valid for its incarnation.
    last_contact_at
        Monotonic time at which it was last known to be alive from direct
        contact; ``None`` before the first contact.
    added_at
        Monotonic time when the record was added.
    confirmed_at
        Monotonic time when another peer last confirmed that it is alive.
    """

    name: str
    zone: str
    cell: str
    agent_address: str
    added_at: float
    entry_addresses: tuple[str, ...] = ()
    state: MemberState = MemberState.SUSPECT
    incarnation: int = 0
    listed_address: str = ""
    listed_leaving: bool = False
    announced_leaving: bool = False
    last_contact_at: float | None = None
    confirmed_at: float | None = None
    sections: dict[str, bytes] = dataclasses.field(default_factory=dict)

    def silent_s(self, now: float) -> float:
        """Return the seconds since the last direct contact."""
        return (
            NO_CONTACT_S
            if self.last_contact_at is None
            else now - self.last_contact_at
        )

    def is_leaving(self) -> bool:
        """Return whether the peer or the instance list says it is leaving."""
        return self.announced_leaving or self.listed_leaving

    def to_member(self, now: float) -> Member:
        """Return an immutable copy."""
        return Member(
            name=self.name,
            zone=self.zone,
            cell=self.cell,
            agent_address=self.agent_address,
            entry_addresses=self.entry_addresses,
            state=self.state,
            silent_s=self.silent_s(now),
            incarnation=self.incarnation,
            sections=types.MappingProxyType(dict(self.sections)),
        )


def new_incarnation() -> int:
    """Return a number that increases with each start of the process.

    The start time orders the starts of one instance; the random part makes
    two starts differ within one millisecond or after the clock was set back.
    """
    random_part = secrets.randbits(INCARNATION_RANDOM_BITS)
    return (time.time_ns() // 1_000_000 << INCARNATION_RANDOM_BITS) | (
        random_part
    )
