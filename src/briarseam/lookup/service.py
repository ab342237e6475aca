"""Ranks the entry addresses of a session."""

from __future__ import annotations

import typing

from briarseam.lookup import layout as layouts
from briarseam.lookup import messages
from briarseam.lookup import rank
from briarseam.membership import state

if typing.TYPE_CHECKING:
    from briarseam.wire import connection as connections
    from briarseam.wire import server

DEFAULT_TTL_S = 5.0
CANDIDATES = 4
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
        self.present = layouts.build(())

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
            The caller's organisation; its sessions have an order of their
            own.
        session
            The caller's session name.
        """
        key = rank.session_key(organisation, session)
        order = self.layout().order(key, self.candidates)
        order.sort(key=is_suspect)
        addresses = tuple(entry_of(key, member) for member in order)
        return messages.Addresses(addresses, self.ttl_s)

    def owner(self, organisation: str, session: str) -> state.Member | None:
        """Return the live member that owns a session, if any."""
        key = rank.session_key(organisation, session)
        order = self.layout().order(key, self.candidates)
        return next((m for m in order if not is_suspect(m)), None)

    def layout(self) -> layouts.Layout:
        """Return the layout of the present members."""
        members = self.members()
        present = self.present
        if present.members is not members:
            present = layouts.build(members)
            self.present = present
        return present


def is_suspect(member: state.Member) -> bool:
    """Tell whether a member may be dead."""
    return member.state is state.MemberState.SUSPECT


def entry_of(key: str, member: state.Member) -> str:
    """Return the entry address of a member that a session should use."""
    return rank.ranked(key, member.entry_addresses, str)[0]
