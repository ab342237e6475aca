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


def service(everyone, cell, fresh=True):
    return types.SimpleNamespace(
        all_members=lambda: [member(name) for name in everyone],
        members=lambda: [member(name) for name in cell],
        live=lambda: [member(name) for name in cell],
        is_fresh=lambda: fresh,
    )


def instances(own_name="instance-0", **options):
    made = node_instances.Instances(own_name)
    made.registrations = registrations.Registrations(
        None, "topic", registrations.Registration(own_name, "", "north", "a")
    )
    if options:
        made.membership = service(**options)
    return made


def register(made, names, weight=1.0):
    made.registrations.by_name = {
        name: registrations.Registration(name, "", "north", "a", weight)
        for name in names
    }


def test_slack_is_shared_before_peers_are_met():
    """All instances start at once, and engines reset connections.

    Each uses the whole slack for the second in which it knows no peer.
    """
    made = instances()
    register(made, NAMES)
    assert made.known_count() == len(NAMES)


@pytest.mark.parametrize(
    ("everyone", "standing"),
    [
        pytest.param(NAMES[:7], 7, id="small"),
        pytest.param(NAMES, node_instances.LEADER_CANDIDATES, id="large"),
    ],
)
def test_few_of_a_large_deployment_stand_for_the_duty(everyone, standing):
    found = [
        name
        for name in everyone
        if instances(
            name, everyone=everyone, cell=everyone
        ).is_leader_candidate()
    ]
    assert len(found) == standing


def test_who_has_met_nobody_yet_does_not_stand():
    """Two hundred instances start at once, and each joins and leaves.

    Each knew itself only, and took itself for one of the few.
    """
    before = instances("instance-0")
    register(before, NAMES)
    assert not before.is_leader_candidate()
    found = []
    for name in NAMES:
        made = instances(name, everyone=[name], cell=[name])
        register(made, NAMES)
        if made.is_leader_candidate():
            found.append(name)
    assert len(found) == node_instances.LEADER_CANDIDATES


def test_who_is_left_of_a_large_deployment_stands():
    """Zones are lost, and their instances' registrations are still there."""
    left = NAMES[:25]
    found = []
    for name in left:
        made = instances(name, everyone=left, cell=left)
        register(made, NAMES)
        if made.is_leader_candidate():
            found.append(name)
    assert len(found) == node_instances.LEADER_CANDIDATES


def test_nobody_is_heard_by_who_has_no_fresh_view():
    assert (
        instances(everyone=NAMES, cell=NAMES, fresh=False).fresh_names() == []
    )
    assert instances(everyone=NAMES, cell=NAMES).fresh_names() == NAMES
