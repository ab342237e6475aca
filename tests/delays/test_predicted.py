from __future__ import annotations

import pytest
from tests.delays import made

from briarseam.delays import lines
from briarseam.delays import predicted
from briarseam.delays import sends
from briarseam.delays import summary


def sent(at_s, request, predicted_ms, **fields):
    """Return the line of a send with a prediction."""
    return made.sent_prompt(
        at_s,
        request,
        predicted_first_ms=predicted_ms,
        **({"endpoint_ratio": 1.0, "expected_late": 0.1} | fields),
    )


def groups(texts, by):
    joined = sends.join(lines.read(texts).lines)
    return {one.name: one for one in predicted.groups(joined, by, 2.0)}


TEXTS = [
    sent(1, "r1", 100),
    made.ended(2, "r1", "e1:answered-200 first=150ms"),
    sent(1.5, "r2", 200, endpoint="e2", endpoint_ratio=2.0),
    made.ended(2.5, "r2", "e2:answered-200 first=100ms"),
    sent(3.5, "r3", 100, endpoint="e2"),
    made.ended(4.5, "r3", "e2:answered-200 first=400ms"),
    sent(3.6, "r4", 100, endpoint="e2"),
    made.ended(4.6, "r4", "e2:failed"),
    made.sent_prompt(5.5, "r5", endpoint="e3"),
    made.ended(6, "r5", "e3:answered-200 first=10ms"),
]


def test_predictions_by_endpoint():
    found = groups(TEXTS, summary.By.ENDPOINT)
    assert list(found) == ["e1", "e2"]
    assert found["e1"].ratio_p50 == 1.5
    slow = found["e2"]
    assert (slow.sends, slow.predicted_p50_ms, slow.first_p50_ms) == (
        3,
        100,
        100,
    )
    assert (slow.ratio_p50, slow.ratio_p95) == (0.5, 4.0)
    assert slow.endpoint_ratio == pytest.approx(4 / 3)
    assert slow.expected_late == pytest.approx(0.3)


def test_predictions_by_second():
    found = groups(TEXTS, summary.By.SECOND)
    assert {name: one.sends for name, one in found.items()} == {"0": 2, "2": 2}


def test_sends_without_a_first_event_have_no_ratio():
    """Guards against a failed send that counts as a fast one."""
    only = groups([sent(1, "r1", 0)], summary.By.ENDPOINT)["e1"]
    assert (only.sends, only.ratio_p50, only.first_p50_ms) == (1, None, None)


def test_prediction_of_zero_has_a_ratio():
    """Guards against a division by zero."""
    texts = [
        sent(1, "r1", 0),
        made.ended(2, "r1", "e1:answered-200 first=5ms"),
    ]
    assert groups(texts, summary.By.ENDPOINT)["e1"].ratio_p50 == 5.0
