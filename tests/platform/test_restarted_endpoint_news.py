"""Updates on an endpoint's starts: late, without start time, or removal."""

from __future__ import annotations

import pytest

from briarseam.feeds import records
from briarseam.weights import orders
from tests.platform import restarted_engine as restarted
from tests.platform import system as systems


@pytest.fixture
def case(cold_system):
    return restarted.Case(cold_system)


# Late updates from a former start, by their source.


def late_entry(case):
    case.registry.apply_changes(
        [case.entry(born=restarted.OLD_BORN, address="1.2.3.4:5")]
    )


def late_newest_entries(case):
    case.registry.apply_all(
        [case.entry(born=restarted.OLD_BORN, address="1.2.3.4:5")]
    )


def late_report(case):
    case.worker.restart(restarted.OLD_BORN)
    client = case.node.weights.rollout.sources.engines
    with pytest.raises(orders.EngineUnavailableError):
        client.report(case.worker.address, restarted.NEW)


def late_peer(case):
    case.node.restarts.consume(
        "peer", restarted.packed((restarted.NAME, restarted.OLD_BORN))
    )


@pytest.mark.parametrize(
    "late", [late_entry, late_newest_entries, late_report, late_peer]
)
@pytest.mark.parametrize("signal", restarted.RESTART_SIGNALS)
def test_late_update_from_a_former_start_changes_nothing(case, signal, late):
    """Guards against applying a late entry of a former start.

    An engine writes its entry and crashes; the entry reaches the store
    seconds later, after that of the next start.  Applied, it would restore
    the former start with its address and weights, and all state of the
    current start would be dropped.
    """
    restarted.restart(case, signal)
    known = case.registry.all()
    for kind in restarted.PERSISTENT_STATE:
        restarted.STATE_KINDS[kind].record(case.node, restarted.NEW, case)
    late(case)
    assert case.registry.all() == known
    assert [endpoint.versions for endpoint in case.registry.all()] == [
        endpoint.versions for endpoint in known
    ]
    for kind in restarted.PERSISTENT_STATE:
        assert restarted.STATE_KINDS[kind].is_known(case.node, restarted.NEW)


def test_late_entry_does_not_restore_a_former_start(case):
    """The engine restarts and leaves; then the entry of its first start
    reaches the store.
    """
    restarted.restart(case, "entry")
    case.registry.apply_changes([records.KeyedRecord(restarted.NAME, None)])
    case.registry.apply_changes([case.entry(born=restarted.OLD_BORN)])
    assert case.registry.all() == []


@pytest.mark.parametrize("signal", ["report", "peer"])
def test_weights_of_a_start_are_unknown_until_it_reports_them(case, signal):
    """Guards against carrying over weight versions to a new start.

    A report shows the restart of an engine; its entry follows a second
    later.  With the weight versions of the former entry, prompts would run
    on other weights than they request.
    """
    restarted.restart(case, signal)
    (endpoint,) = case.registry.all()
    assert endpoint.versions == {systems.MODEL: 0}
    case.registry.apply_changes([case.entry()])
    (endpoint,) = case.registry.all()
    assert endpoint.versions == {systems.MODEL: 1}


@pytest.mark.parametrize("signal", ["report", "peer"])
def test_removal_of_the_former_entry_keeps_the_new_start(case, signal):
    """Guards against removing a live endpoint with its former entry.

    An engine restarts and answers a call before its entry is written; only
    then does the store remove the entry of the former start.  Removed, the
    engine would get no work, and its reported state would be dropped.
    """
    restarted.restart(case, signal)
    case.node.weights.known_weights.record_version(
        restarted.NEW, systems.MODEL, 7
    )
    case.registry.apply_changes([records.KeyedRecord(restarted.NAME, None)])
    assert case.id() == restarted.NEW
    assert restarted.knows_weights(case.node, restarted.NEW)


@pytest.mark.parametrize("signal", restarted.RESTART_SIGNALS)
def test_removal_of_its_own_entry_removes_the_new_start(case, signal):
    restarted.restart(case, signal)
    case.registry.hold_lapsed_until_s = 0.0
    case.node.weights.known_weights.record_version(
        restarted.NEW, systems.MODEL, 7
    )
    case.registry.apply_changes([case.entry()])
    case.registry.apply_changes([records.KeyedRecord(restarted.NAME, None)])
    assert case.registry.serving("engines") == []
    assert not restarted.knows_weights(case.node, restarted.NEW)


@pytest.mark.parametrize("signal", restarted.RESTART_SIGNALS)
def test_malformed_entry_removes_the_new_start(case, signal):
    """Another writer overwrites the engine's entry just after its restart.

    The entry describes no endpoint any more, so no state may be kept.
    """
    restarted.restart(case, signal)
    case.node.weights.known_weights.record_version(
        restarted.NEW, systems.MODEL, 7
    )
    case.registry.apply_changes([records.KeyedRecord(restarted.NAME, b"{")])
    assert case.registry.serving("engines") == []
    assert not restarted.knows_weights(case.node, restarted.NEW)


def test_entry_without_start_time_is_not_a_restart(case):
    """The entry comes from a writer that does not report start times.

    It applies to the current start, whose state is kept.
    """
    case.node.weights.known_weights.record_version(
        restarted.OLD, systems.MODEL, 7
    )
    case.worker.born = None
    case.registry.apply_changes([case.entry(zone="hall-b")])
    assert case.id() == restarted.OLD
    assert case.registry.all()[0].zone == "hall-b"
    assert restarted.knows_weights(case.node, restarted.OLD)


def test_report_without_start_time_is_accepted(case):
    case.worker.born = None
    client = case.node.weights.rollout.sources.engines
    report = client.report(case.worker.address, restarted.OLD)
    assert report.versions == {systems.MODEL: 1}
    assert case.id() == restarted.OLD
