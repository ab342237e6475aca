from __future__ import annotations

import pytest

from briarseam.eligibility import rate_sharing
from briarseam.eligibility import send_window


@pytest.mark.parametrize(
    ("rate_per_s", "instances", "count"),
    [(2.0, 7, 2), (3.8, 7, 3), (0.0, 7, 1), (0.5, 195, 1), (1e9, 10, 10)],
)
def test_few_instances_share_a_low_rate(rate_per_s, instances, count):
    assert rate_sharing.sender_count(rate_per_s, instances) == count


def test_part_of_a_rate_never_permits_more_than_a_second_of_it_at_once():
    assert rate_sharing.allowance_of(1.25) == send_window.Allowance(1, 0.8)
    assert rate_sharing.allowance_of(0.5) == send_window.Allowance(1, 2.0)
    assert rate_sharing.allowance_of(4.0) == send_window.Allowance(4, 1.0)
