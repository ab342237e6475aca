from __future__ import annotations

import pytest
from tests.soak import soak


@pytest.mark.timeout(120)
def test_keys_run_at_most_once_under_random_faults(tmp_path):
    """A booking is made twice, or one told "not run" was made.

    Callers submit keys and send them again at any instance while
    processes are killed and frozen, links cut and slowed, the log goes
    away and loses answers, in an order that the seed fixes.
    """
    report = soak.soak(tmp_path, seed=5, seconds=8.0)
    assert report.is_clean(), report
    assert report.runs > 0
    assert report.faults
