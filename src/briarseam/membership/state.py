"""What is known about the agents of a cell."""

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
    """How a member looks from here."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(frozen=True)
class LocalAgent:
    """The agent itself, as its settings name it.

    Attributes
    ----------
    name
        The instance's name.
    zone
        Its availability zone.
    agent_address
        ``ip:port`` where other agents reach it.
    entry_addresses
        ``ip:port`` of its entry processes towards callers.
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
        How it looks from here.
    silent_s
        Seconds since it was last heard directly, as of the snapshot.
    incarnation
        Higher after each start of the process.
    sections
        What its heartbeats carry besides, by section name.
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
    """What the table holds about one peer.

    Attributes
    ----------
    listed_address
        Address on the instance list; empty when not on it.
    listed_leaving
        Whether the list says that it is leaving.
    told_leaving
        Whether it said so itself; holds for its incarnation.
    heard_at
        Monotonic time of the last word from it; ``None`` before the first.
    added_at
        Monotonic time when it was first heard of.
    vouched_at
        Monotonic time when another peer last vouched for it.
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
        """Return the seconds since it was heard."""
        return (
            NO_CONTACT_S
            if self.last_contact_at is None
            else now - self.last_contact_at
        )

    def is_leaving(self) -> bool:
        """Tell whether it said, or the list says, that it is leaving."""
        return self.announced_leaving or self.listed_leaving

    def to_member(self, now: float) -> Member:
        """Return the immutable form."""
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
    """Return a number that is higher after each start of the process.

    The start time orders the starts of one instance; the random part tells
    two starts within one millisecond, or a clock set back, from each other.
    """
    random_part = secrets.randbits(INCARNATION_RANDOM_BITS)
    return (time.time_ns() // 1_000_000 << INCARNATION_RANDOM_BITS) | (
        random_part
    )
