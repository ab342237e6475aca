from __future__ import annotations

import typing

from briarseam.lookup import service as lookups
from briarseam.testing import waiting
from tests.membership import nodes as helpers

Start = typing.Callable[..., helpers.Node]
SESSIONS = [f"s{number}" for number in range(40)]


def first_addresses(node: helpers.Node) -> set[str]:
    """Return the addresses that a node's lookups return first."""
    lookup = lookups.Lookup(node.membership.all_members, lambda digest: None)
    return {lookup.where("org", name).addresses[0] for name in SESSIONS}


def entry_addresses(names: str) -> set[str]:
    """Return the entry addresses of nodes."""
    return {f"entry-of-{name}" for name in names}


def test_both_sides_of_a_network_partition_serve_callers(start: Start) -> None:
    """A network partition divides a cell in two; callers reach both sides.
    The lookups of each side return its own agents first, and those of all
    agents again when the partition ends.
    """
    nodes = {name: start(name) for name in "abcd"}
    waiting.until(
        lambda: all(node.names() == set("abcd") for node in nodes.values())
    )
    sides = ("ab", "cd")
    for one in sides[0]:
        for other in sides[1]:
            helpers.block_between(nodes[one], nodes[other])
    for side in sides:
        for name in side:
            waiting.until(
                lambda name=name, side=side: (
                    first_addresses(nodes[name]) == entry_addresses(side)
                ),
                timeout_s=15,
            )
            assert nodes[name].membership.is_fresh()
    helpers.unblock(*nodes.values())
    waiting.until(
        lambda: all(
            first_addresses(node) == entry_addresses("abcd")
            for node in nodes.values()
        ),
        timeout_s=15,
    )
