"""Which agents keep the index of a group.

The owner comes first in the rendezvous order of the group's session: cells
first and then the agents of a cell, as callers are sent to them, so the
agent that serves a session is its owner as a rule.  The second copy is with
the first agent of another zone.  Two agents may disagree for a while on who
is alive; then both act as owners, blocks are deleted earlier than need be,
and a reader that meets a gap recomputes.
"""

from __future__ import annotations

import collections
import dataclasses
import threading
import typing

from briarseam.cache import names
from briarseam.cache import state

MAX_REMEMBERED = 8192
Score = typing.Callable[[str, str, float], float]


@dataclasses.dataclass(frozen=True)
class Agent:
    """One agent that may keep an index.

    Attributes
    ----------
    name, zone, cell, address
        Which one, and its ``ip:port``.
    """

    name: str
    zone: str
    cell: str
    address: str


class Owners:
    """Ranks agents for groups.

    Parameters
    ----------
    me
        This agent's name.
    agents
        All agents that are probably alive, this one included; the same
        tuple while nothing changes.
    score
        Rendezvous score of a name of some weight for a key.
    """

    def __init__(
        self,
        me: str,
        agents: typing.Callable[[], tuple[Agent, ...]],
        score: Score,
    ) -> None:
        self.me = me
        self.agents = agents
        self.score = score
        self.lock = threading.Lock()
        self.known: tuple[Agent, ...] = ()
        self.epoch = 0
        self.remembered: dict[bytes, state.Holders] = {}

    def __call__(self, group: bytes) -> state.Holders:
        """Return who keeps a group's index."""
        agents = self.agents()
        with self.lock:
            if agents != self.known:
                self.known = agents
                self.epoch += 1
                self.remembered.clear()
            found = self.remembered.get(group)
            if found is None:
                if len(self.remembered) >= MAX_REMEMBERED:
                    self.remembered.clear()
                found = self.work_out(group, agents)
                self.remembered[group] = found
            return found

    def work_out(
        self, group: bytes, agents: tuple[Agent, ...]
    ) -> state.Holders:
        """Return who keeps a group's index among some agents."""
        if not agents:
            return state.Holders(epoch=self.epoch)
        order = self.order(group[names.ORGANISATION_BYTES :].hex(), agents)
        owner = order[0]
        keeping = [owner]
        keeping += [one for one in order if one.zone != owner.zone][:1]
        return state.Holders(
            mine=owner.name == self.me,
            others=tuple(
                one.address for one in keeping if one.name != self.me
            ),
            epoch=self.epoch,
        )

    def order(self, key: str, agents: tuple[Agent, ...]) -> list[Agent]:
        """Return agents in a key's order: by cell, then within it."""
        counts = collections.Counter(one.cell for one in agents)
        cells = {
            cell: self.score(key, cell, count)
            for cell, count in counts.items()
        }
        return sorted(
            agents,
            key=lambda one: (
                cells[one.cell],
                one.cell,
                self.score(key, one.name, 1.0),
                one.name,
            ),
            reverse=True,
        )
