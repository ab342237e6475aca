"""Consistent hashing of prompts to the agents that own them."""

from __future__ import annotations

import bisect
import dataclasses

import xxhash

# More points distribute the prompts more evenly but take longer to sort.
POINTS_PER_AGENT = 16


@dataclasses.dataclass(frozen=True)
class Agent:
    """Name and address of an agent."""

    name: str
    address: str


class HashRing:
    """Agents on a hash ring; a key belongs to the agents that follow it.

    Ranking hundreds of agents for each prompt would take milliseconds; with
    the ring only a change of the agents takes that long.

    Parameters
    ----------
    agents
        Agents by name.
    """

    def __init__(self, agents: dict[str, Agent]) -> None:
        self.agents = agents
        pairs = sorted(
            (xxhash.xxh3_64_intdigest(f"{name}\0{point}".encode()), name)
            for name in agents
            for point in range(POINTS_PER_AGENT)
        )
        self.hashes = [hashed for hashed, _ in pairs]
        self.names = [name for _, name in pairs]

    def owners_of(self, key: str, count: int) -> list[Agent]:
        """Return the agents that own a key, at most ``count``."""
        start = bisect.bisect(
            self.hashes, xxhash.xxh3_64_intdigest(key.encode())
        )
        owners: dict[str, Agent] = {}
        for step in range(len(self.names)):
            name = self.names[(start + step) % len(self.names)]
            owners[name] = self.agents[name]
            if len(owners) == count:
                break
        return list(owners.values())
