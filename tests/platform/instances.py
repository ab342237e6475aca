"""Several instances in one process."""

from __future__ import annotations

from briarseam.testing import waiting

TIMEOUT_S = 10


def start_others(system, count):
    """Start further instances; return all, joined to each other."""
    nodes = [system.node]
    nodes += [
        system.launch_another(f"other-{number}") for number in range(count)
    ]
    waiting.until(
        lambda: all(
            node.is_ready()
            and len(node.instances.all()) == len(nodes)
            and len(node.feeds.registrations.by_name) == len(nodes)
            and len(node.feeds.registry.all()) == len(system.workers)
            for node in nodes
        ),
        TIMEOUT_S,
    )
    return nodes
