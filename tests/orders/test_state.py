from __future__ import annotations

import pytest

from briarseam.endpoints import engine_orders
from briarseam.orders import sharing
from briarseam.orders import state


def report(version, loading=None, requested_s=10.0) -> state.Report:
    loaded = engine_orders.ModelState(version, loading)
    return state.Report(
        engine_orders.EngineState("boot", {"draft": loaded}), requested_s
    )


@pytest.mark.parametrize(
    ("found", "expected"),
    [
        (None, state.VersionStatus.UNREACHABLE),
        (report(None), state.VersionStatus.EMPTY),
        (report("v1"), state.VersionStatus.OTHER_VERSION),
        (report("v1", "v2"), state.VersionStatus.LOADING),
        (report("v2", "v3"), state.VersionStatus.LOADING_OTHER),
        (report("v2"), state.VersionStatus.SERVING),
    ],
    ids=lambda value: str(value) if isinstance(value, str) else "",
)
def test_standing_follows_the_report(found, expected):
    assert state.version_status_of("draft", "v2", found, None) is expected


def test_report_from_before_an_order_does_not_count():
    """A poll was under way when the load was ordered.

    Its answer says that the worker serves, just as it stops serving.
    """
    load_order = state.LoadOrder("v2", ended_s=11.0, confirmed=True)
    found = state.version_status_of("draft", "v2", report("v1"), load_order)
    assert found is state.VersionStatus.ORDERED


def test_older_report_does_not_replace_a_newer_one():
    """A slow poll ends after a quick one that was asked for later."""
    engine_reports = state.EngineReports()
    engine_reports.put("worker-1", report("v2", requested_s=12.0))
    engine_reports.put("worker-1", report("v1", requested_s=11.0))
    assert engine_reports.all()["worker-1"] == report("v2", requested_s=12.0)


def test_reports_ride_on_heartbeats_until_their_member_is_gone():
    here, there = state.EngineReports(), state.EngineReports()
    there.put("worker-1", report("v1"))
    data = sharing.Sharing(there, lambda: 20.0).provide()
    sharing.Sharing(here, lambda: 20.0).consume("agent-2", data)
    assert here.all()["worker-1"].state == report("v1").state
    here.retain_members({"agent-2"})
    assert here.all()
    here.retain_members(set())
    assert not here.all()


def test_report_of_another_member_is_not_younger_than_an_order():
    """A heartbeat with the report was under way when the load was ordered.

    Counted from its arrival, the worker would seem to serve.
    """
    there, here = state.EngineReports(), state.EngineReports()
    there.put("worker-1", report("v1", requested_s=10.0))
    data = sharing.Sharing(there, lambda: 10.0).provide()
    load_order = state.LoadOrder("v2", ended_s=11.0, confirmed=True)
    sharing.Sharing(here, lambda: 12.0).consume("agent-2", data)
    found = here.all()["worker-1"]
    standing = state.version_status_of("draft", "v2", found, load_order)
    assert standing is state.VersionStatus.ORDERED
