"""Which agent answers for a prompt, found in little time among many."""

from __future__ import annotations

import bisect
import dataclasses

import xxhash

# More points share the prompts more evenly and take longer to sort.
POINTS = 16


@dataclasses.dataclass(frozen=True)
class Agent:
    """An agent that can be asked."""

    name: str
    address: str


class HashRing:
    """Agents around a ring of hashes; a key belongs to the next ones.

    Ranking hundreds of agents for each prompt would take milliseconds; here
    only a change of the agents takes long.

    Parameters
    ----------
    agents
        By name.
    """

    def __init__(self, agents: dict[str, Agent]) -> None:
        self.agents = agents
        pairs = sorted(
            (xxhash.xxh3_64_intdigest(f"{name}\0{point}".encode()), name)
            for name in agents
            for point in range(POINTS)
        )
        self.hashes = [hashed for hashed, _ in pairs]
        self.names = [name for _, name in pairs]

    def owners_of(self, key: str, count: int) -> list[Agent]:
        """Return the first agents of a key, at most ``count``."""
        start = bisect.bisect(
            self.hashes, xxhash.xxh3_64_intdigest(key.encode())
        )
        found: dict[str, Agent] = {}
        for step in range(len(self.names)):
            name = self.names[(start + step) % len(self.names)]
            found[name] = self.agents[name]
            if len(found) == count:
                break
        return list(found.values())
