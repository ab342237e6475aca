"""Ranks the entry addresses of a session."""

from __future__ import annotations

import typing

from briarseam.lookup import messages
from briarseam.lookup import rank
from briarseam.membership import state

if typing.TYPE_CHECKING:
    from briarseam.wire import connection as connections
    from briarseam.wire import server

DEFAULT_TTL_S = 5.0
CANDIDATES = 4
USABLE = frozenset({state.MemberState.ALIVE, state.MemberState.SUSPECT})
Members = typing.Callable[[], typing.Sequence[state.Member]]
OrganisationOf = typing.Callable[[str], str | None]


class Lookup:
    """Answers callers' question which addresses to use.

    Parameters
    ----------
    members
        Members of this cell, and of others as far as they are known.
    organisation_of
        Organisation of a token digest; ``None`` for an unknown one.
    ttl_s
        How long a caller may keep an answer; a stopping instance serves
        for at least as long.
    candidates
        Most addresses in an answer.
    """

    def __init__(
        self,
        members: Members,
        organisation_of: OrganisationOf,
        ttl_s: float = DEFAULT_TTL_S,
        candidates: int = CANDIDATES,
    ) -> None:
        self.members = members
        self.organisation_of = organisation_of
        self.ttl_s = ttl_s
        self.candidates = candidates

    def register(self, router: server.Router) -> None:
        """Answer the entries' messages."""
        router.on(messages.Where, self.on_where)

    def on_where(
        self, peer: connections.Identity, asked: messages.Where
    ) -> messages.Addresses:
        """Answer an entry; an unknown token ranks as no organisation."""
        del peer
        organisation = self.organisation_of(asked.token_digest) or ""
        return self.where(organisation, asked.session)

    def where(self, organisation: str, session: str) -> messages.Addresses:
        """Return a session's addresses, best first.

        Parameters
        ----------
        organisation
            The caller's organisation; sessions of two never share a rank.
        session
            The caller's session name.
        """
        key = rank.session_key(organisation, session)
        order = self.order(key)
        # A suspect may well be dead, so callers should try it last; it
        # stays in the answer since a cut may be ours alone.
        order.sort(key=lambda member: member.state is not ALIVE)
        addresses = [entry_of(key, member) for member in order]
        return messages.Addresses(
            tuple(addresses[: self.candidates]), self.ttl_s
        )

    def owner(self, organisation: str, session: str) -> state.Member | None:
        """Return the live member that owns a session, if any."""
        key = rank.session_key(organisation, session)
        for member in self.order(key):
            if member.state is ALIVE:
                return member
        return None

    def order(self, key: str) -> list[state.Member]:
        """Return usable members: cells by rank, each cell's by rank."""
        by_cell: dict[str, list[state.Member]] = {}
        for member in self.members():
            if member.state in USABLE and member.entry_addresses:
                by_cell.setdefault(member.cell, []).append(member)
        order: list[state.Member] = []
        for cell in rank.ranked(key, by_cell, str):
            order.extend(rank.ranked(key, by_cell[cell], name_of))
        return order


ALIVE = state.MemberState.ALIVE


def name_of(member: state.Member) -> str:
    """Return the name that a member is ranked by."""
    return member.name


def entry_of(key: str, member: state.Member) -> str:
    """Return the entry address of a member that a session should use."""
    best = rank.ranked(key, member.entry_addresses, str)
    return best[0]
