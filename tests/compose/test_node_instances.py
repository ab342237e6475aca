from __future__ import annotations

import types

import pytest

from briarseam.compose import node_instances
from briarseam.membership import state
from briarseam.peers import registrations

NAMES = [f"instance-{number}" for number in range(40)]


def member(name):
    return state.Member(
        name, "region", "region/0", "", (), state.MemberState.ALIVE
    )


def make_membership(all_names, cell, fresh=True):
    return types.SimpleNamespace(
        all_members=lambda: [member(name) for name in all_names],
        members=lambda: [member(name) for name in cell],
        live=lambda: [member(name) for name in cell],
        is_fresh=lambda: fresh,
    )


def make_instances(own_name="instance-0", **options):
    instances = node_instances.Instances(own_name)
    instances.registrations = registrations.Registrations(
        None, "topic", registrations.Registration(own_name, "", "north", "a")
    )
    if options:
        instances.membership = make_membership(**options)
    return instances


def register(instances, names, weight=1.0):
    instances.registrations.by_name = {
        name: registrations.Registration(name, "", "north", "a", weight)
        for name in names
    }


def test_registered_instances_are_counted_before_peers_are_joined():
    """Guards against each instance using the whole retry slack.

    When all instances start at once, each knows no peer for a second, while
    engines may reset connections.
    """
    instances = make_instances()
    register(instances, NAMES)
    assert instances.known_count() == len(NAMES)


@pytest.mark.parametrize(
    ("all_names", "expected"),
    [
        pytest.param(NAMES[:7], 7, id="small"),
        pytest.param(NAMES, node_instances.LEADER_CANDIDATES, id="large"),
    ],
)
def test_number_of_leader_candidates_is_limited(all_names, expected):
    candidates = [
        name
        for name in all_names
        if make_instances(
            name, all_names=all_names, cell=all_names
        ).is_leader_candidate()
    ]
    assert len(candidates) == expected


def test_registered_instances_limit_the_candidates_before_peers_are_joined():
    """Guards against all instances joining the candidates and leaving again.

    When many instances start at once, each is connected to no other at first
    and would count itself among the candidates.
    """
    unconnected = make_instances("instance-0")
    register(unconnected, NAMES)
    assert not unconnected.is_leader_candidate()
    candidates = []
    for name in NAMES:
        instances = make_instances(name, all_names=[name], cell=[name])
        register(instances, NAMES)
        if instances.is_leader_candidate():
            candidates.append(name)
    assert len(candidates) == node_instances.LEADER_CANDIDATES


def test_candidates_are_among_the_remaining_instances_after_zones_are_lost():
    """Registrations of the instances of lost zones remain for a while."""
    remaining = NAMES[:25]
    candidates = []
    for name in remaining:
        instances = make_instances(name, all_names=remaining, cell=remaining)
        register(instances, NAMES)
        if instances.is_leader_candidate():
            candidates.append(name)
    assert len(candidates) == node_instances.LEADER_CANDIDATES


def test_fresh_names_are_empty_without_a_fresh_view():
    assert (
        make_instances(all_names=NAMES, cell=NAMES, fresh=False).fresh_names()
        == []
    )
    assert make_instances(all_names=NAMES, cell=NAMES).fresh_names() == NAMES


def test_remote_addresses_are_of_alive_instances_of_other_cells():
    """Guards against notices to peers, which count the same work twice."""
    instances = make_instances()
    assert instances.remote_addresses() == []
    alive, suspect = state.MemberState.ALIVE, state.MemberState.SUSPECT
    rows = [
        state.Member(name, "region", cell, f"{name}:1", (), status)
        for name, cell, status in (
            ("instance-0", "a", alive),
            ("instance-1", "a", alive),
            ("instance-2", "b", alive),
            ("instance-3", "b", suspect),
            ("instance-4", "c", alive),
        )
    ]
    instances.membership = types.SimpleNamespace(
        local_member=rows[0], all_members=lambda: rows
    )
    assert instances.remote_addresses() == ["instance-2:1", "instance-4:1"]
