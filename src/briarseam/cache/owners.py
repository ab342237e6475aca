"""Which agents keep the index of a group.

The owner is the first live agent in lookup's own order of the group's
session, which is the order in which callers are sent to agents; so the
agent that serves a session is its owner as a rule, and asks nobody.  The
second copy is with the next agent of another zone.  Two agents may disagree
for a while on who is alive; then both act as owners, blocks are deleted
earlier than need be, and a reader that meets a gap recomputes.
"""

from __future__ import annotations

import threading
import typing

from briarseam.cache import names
from briarseam.cache import state
from briarseam.membership import state as members

MAX_CACHED_GROUPS = 8192
MAX_RANKED = 4


class Layout(typing.Protocol):
    """The agents, ready to be ranked."""

    def order(self, key: str, count: int) -> typing.Sequence[members.Member]:
        """Return the first agents in a session's order."""


class Owners:
    """Ranks agents for groups.

    Parameters
    ----------
    me
        This agent's name.
    layout
        Gives the present agents; the same object while nothing changes.
    """

    def __init__(
        self, own_name: str, layout: typing.Callable[[], Layout]
    ) -> None:
        self.own_name = own_name
        self.layout = layout
        self.lock = threading.Lock()
        self.ranked_layout: Layout | None = None
        self.epoch = 0
        self.cached: dict[bytes, state.Holders] = {}

    def __call__(self, group: bytes) -> state.Holders:
        """Return who keeps a group's index."""
        layout = self.layout()
        with self.lock:
            if layout is not self.ranked_layout:
                self.ranked_layout = layout
                self.epoch += 1
                self.cached.clear()
            holders = self.cached.get(group)
            if holders is None:
                if len(self.cached) >= MAX_CACHED_GROUPS:
                    self.cached.clear()
                holders = self.compute(group, layout)
                self.cached[group] = holders
            return holders

    def compute(self, group: bytes, layout: Layout) -> state.Holders:
        """Return who keeps a group's index among the present agents."""
        key = group[names.ORGANISATION_BYTES :].hex()
        order = [
            member
            for member in layout.order(key, MAX_RANKED)
            if member.state is members.MemberState.ALIVE
        ]
        if not order:
            return state.Holders(epoch=self.epoch)
        owner = order[0]
        holding = [owner]
        holding += [member for member in order if member.zone != owner.zone][
            :1
        ]
        return state.Holders(
            is_owner=owner.name == self.own_name,
            others=tuple(
                member.agent_address
                for member in holding
                if member.name != self.own_name
            ),
            epoch=self.epoch,
        )
