from __future__ import annotations

import pytest
from tests.soak import faults
from tests.soak import serve_soak

SECONDS = 8.0


@pytest.mark.timeout(120)
def test_short_run_breaks_no_promise(tmp_path):
    report = serve_soak.run(1, SECONDS, 3, tmp_path)
    assert report.broken == []
    assert report.requests > 100


@pytest.mark.timeout(120)
def test_signal_to_reload_during_the_start_ends_no_process(tmp_path):
    """An instance is started again, and its settings change as it starts.

    SIGHUP came before its handler stood, and ended it; seed 200.
    """
    report = serve_soak.run(200, 7.0, 4, tmp_path)
    assert report.broken == []


@pytest.mark.timeout(120)
def test_signals_that_come_at_once_are_both_noticed(tmp_path):
    """An instance is told to reload and to stop in the same moment.

    The second signal went to a thread that runs no handlers, and the
    instance served on for ever; seed 211.
    """
    report = serve_soak.run(211, 9.0, 4, tmp_path)
    assert report.broken == []


def test_plan_is_the_same_for_a_seed():
    """A seed that failed is run again to see what changed."""
    assert faults.plan(7, 20.0, 4) == faults.plan(7, 20.0, 4)
    assert faults.plan(7, 20.0, 4) != faults.plan(8, 20.0, 4)
