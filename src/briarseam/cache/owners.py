"""Agents that hold the index of a group.

The owner is the first live agent in the lookup order of the group's session.
Lookups send callers to agents in the same order, so the agent that serves a
session usually owns it and needs no query.  The second copy is held by the
next agent in another zone.  While two agents disagree on which agents are
alive, both may act as owners; blocks are then deleted too early, and a reader
that finds a block missing recomputes it.
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
    """Ranks the agents."""

    def order(self, key: str, count: int) -> typing.Sequence[members.Member]:
        """Return the first agents in the order for a session."""


class Owners:
    """Ranks agents for groups.

    Parameters
    ----------
    own_name
        Name of this agent.
    layout
        Returns the current agents; the same object until they change.
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
        """Return the agents that hold a group's index."""
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
        """Return the holders of a group's index in a layout."""
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
