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
def test_status_follows_the_report(found, expected):
    assert state.version_status_of("draft", "v2", found, None) is expected


def test_report_requested_before_an_order_is_not_used():
    """A poll is in progress when the load is ordered.

    Its answer says that the engine serves although the engine is about to
    stop serving.
    """
    load_order = state.LoadOrder("v2", ended_s=11.0, confirmed=True)
    found = state.version_status_of("draft", "v2", report("v1"), load_order)
    assert found is state.VersionStatus.ORDERED


def test_older_report_does_not_replace_a_newer_one():
    """A slow poll ends after a fast poll that started later."""
    engine_reports = state.EngineReports()
    engine_reports.put("worker-1", report("v2", requested_s=12.0))
    engine_reports.put("worker-1", report("v1", requested_s=11.0))
    assert engine_reports.all()["worker-1"] == report("v2", requested_s=12.0)


def test_shared_reports_are_used_until_their_member_is_gone():
    local, remote = state.EngineReports(), state.EngineReports()
    remote.put("worker-1", report("v1"))
    data = sharing.Sharing(remote, lambda: 20.0).provide()
    sharing.Sharing(local, lambda: 20.0).consume("agent-2", data)
    assert local.all()["worker-1"].state == report("v1").state
    local.retain_members({"agent-2"})
    assert local.all()
    local.retain_members(set())
    assert not local.all()


def test_shared_report_is_not_newer_than_a_concurrent_order():
    """A heartbeat with the report is in transit when the load is ordered.

    If the age of the report were counted from its arrival, the engine would
    seem to serve.
    """
    remote, local = state.EngineReports(), state.EngineReports()
    remote.put("worker-1", report("v1", requested_s=10.0))
    data = sharing.Sharing(remote, lambda: 10.0).provide()
    load_order = state.LoadOrder("v2", ended_s=11.0, confirmed=True)
    sharing.Sharing(local, lambda: 12.0).consume("agent-2", data)
    found = local.all()["worker-1"]
    status = state.version_status_of("draft", "v2", found, load_order)
    assert status is state.VersionStatus.ORDERED
