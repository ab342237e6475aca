"""State of an endpoint is dropped when the endpoint restarts.

The tests combine each kind of state (`STATE_KINDS`) with each way in which a
restart is detected first (`RESTART_SIGNALS`).
"""

from __future__ import annotations

import pytest

from briarseam.crashes import loss_keys
from briarseam.discovery import starts
from tests.platform import restarted_engine as restarted


@pytest.fixture
def case(cold_system):
    return restarted.Case(cold_system)


@pytest.mark.parametrize("signal", restarted.RESTART_SIGNALS)
@pytest.mark.parametrize("kind", restarted.STATE_KINDS)
def test_new_start_inherits_no_state_of_the_former_one(case, kind, signal):
    """Guards against state that is carried over to a restarted engine.

    The engine crashes and restarts under its name within a second, so its
    entry never disappears.  With the former state, prompts would be routed
    to it for a cache that is gone, and lost weights would count as loaded.
    """
    state = restarted.STATE_KINDS[kind]
    state.record(case.node, restarted.OLD, case)
    assert case.id() == restarted.OLD
    restarted.restart(case, signal)
    assert not state.is_known(case.node, case.id())


@pytest.mark.parametrize("signal", restarted.RESTART_SIGNALS)
@pytest.mark.parametrize("kind", restarted.PERSISTENT_STATE)
def test_state_of_a_former_start_is_dropped(case, kind, signal):
    state = restarted.STATE_KINDS[kind]
    state.record(case.node, restarted.OLD, case)
    restarted.restart(case, signal)
    assert not state.is_known(case.node, restarted.OLD)


@pytest.mark.parametrize("kind", restarted.STATE_KINDS)
def test_late_update_for_a_former_start_does_not_reach_the_new_one(case, kind):
    """The update comes from a peer that does not know of the restart yet, or
    from an answer that was in transit when the engine crashed.
    """
    restarted.restart(case, "entry")
    state = restarted.STATE_KINDS[kind]
    state.record(case.node, restarted.OLD, case)
    assert not state.is_known(case.node, case.id())


@pytest.mark.parametrize("kind", restarted.PERSISTENT_STATE)
def test_late_update_for_a_former_start_is_swept(case, kind):
    """Guards against a memory leak through late answers.

    Engines restart often, and answers in transit are recorded each time; an
    instance that runs for weeks would run out of memory.
    """
    restarted.restart(case, "entry")
    state = restarted.STATE_KINDS[kind]
    state.record(case.node, restarted.OLD, case)
    case.node.keep_only_endpoints(case.registry.ids())
    assert not state.is_known(case.node, restarted.OLD)


@pytest.mark.parametrize("kind", restarted.PERSISTENT_STATE)
def test_state_of_the_current_start_is_kept(case, kind):
    restarted.restart(case, "entry")
    state = restarted.STATE_KINDS[kind]
    state.record(case.node, restarted.NEW, case)
    case.node.keep_only_endpoints(case.registry.ids())
    case.registry.apply_changes([case.entry()])
    assert state.is_known(case.node, case.id())


def test_request_lost_at_several_starts_of_an_endpoint_is_refused(case):
    """Guards against losses that are counted by the name of an endpoint.

    A request crashes an engine, which restarts under its name, and the
    caller sends the request again.  Counted by name, it would have been lost
    at one endpoint only, and would crash the engine again and again.
    """
    counts = case.node.crashes.counts
    key = loss_keys.key_of_request("/draft/x", "north", b"")
    for born_ms in (1, 2, 3):
        assert counts.suspects((key,)) == ()
        start = starts.Start(restarted.NAME, born_ms)
        counts.record_loss(key, start.id, counts.clock())
    assert counts.suspects((key,)) == (key,)
