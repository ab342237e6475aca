"""Lookup service: ranks the entry addresses for a session."""

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
MAX_ADDRESSES = 4
Members = typing.Callable[[], typing.Sequence[state.Member]]
OrganisationOf = typing.Callable[[str], str | None]


class Lookup:
    """Looks up the addresses that callers should use.

    Parameters
    ----------
    members
        Returns the members of this cell, and the known ones of others.
    organisation_of
        Returns the organisation of a token digest; ``None`` if unknown.
    ttl_s
        How long a caller may keep an answer; a stopping instance serves
        for at least this long.
    max_addresses
        Maximum number of addresses in an answer.
    """

    def __init__(
        self,
        members: Members,
        organisation_of: OrganisationOf,
        ttl_s: float = DEFAULT_TTL_S,
        max_addresses: int = MAX_ADDRESSES,
    ) -> None:
        self.members = members
        self.organisation_of = organisation_of
        self.ttl_s = ttl_s
        self.max_addresses = max_addresses
        self.cached_layout = layouts.build(())

    def register(self, router: server.Router) -> None:
        """Register the handlers of entries' messages."""
        router.on(messages.Where, self.on_where)

    def on_where(
        self, peer: connections.Identity, query: messages.Where
    ) -> messages.Addresses:
        """Answer an entry; an unknown token counts as no organisation."""
        del peer
        organisation = self.organisation_of(query.token_digest) or ""
        return self.where(organisation, query.session)

    def where(self, organisation: str, session: str) -> messages.Addresses:
        """Return a session's addresses, best first.

        Parameters
        ----------
        organisation
            The caller's organisation; sessions of the same name are ranked
            independently for each organisation.
        session
            The caller's session name.
        """
        key = rank.session_key(organisation, session)
        order = self.layout().order(key, self.max_addresses)
        order.sort(key=is_suspect)
        addresses = tuple(entry_of(key, member) for member in order)
        return messages.Addresses(addresses, self.ttl_s)

    def owner(self, organisation: str, session: str) -> state.Member | None:
        """Return the live member that owns a session, if there is one."""
        key = rank.session_key(organisation, session)
        order = self.layout().order(key, self.max_addresses)
        return next((m for m in order if not is_suspect(m)), None)

    def layout(self) -> layouts.Layout:
        """Return the layout of the current members."""
        members = self.members()
        cached_layout = self.cached_layout
        if cached_layout.members is not members:
            cached_layout = layouts.build(members)
            self.cached_layout = cached_layout
        return cached_layout


def is_suspect(member: state.Member) -> bool:
    """Return whether a member is suspected to be dead."""
    return member.state is state.MemberState.SUSPECT


def entry_of(key: str, member: state.Member) -> str:
    """Return the member's entry address that a session should use."""
    return rank.ranked(key, member.entry_addresses, str)[0]
