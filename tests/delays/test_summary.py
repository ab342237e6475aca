from __future__ import annotations

import pytest
from tests.delays import made

from briarseam.delays import lines
from briarseam.delays import sends
from briarseam.delays import summary

FETCHING = {
    "tokens_held": 100,
    "tokens_fetched": 7000,
    "tokens_to_read": 300,
    "fetch_late_ms": 400,
}


@pytest.fixture
def joined():
    """Sends and refusals, one of which has a late fetch from a slow store."""
    texts = [
        made.sent(1, "r1"),
        made.ended(1.1, "r1", "e1:failed", route="book"),
        made.sent_prompt(2, "r2", **FETCHING),
        made.ended(6, "r2", "e1:answered-200 first=1500ms"),
        made.sent_prompt(4.5, "r3", endpoint="e2", **FETCHING),
        made.ended(6, "r3", "e2:answered-200 first=300ms"),
        made.sent_prompt(4.75, "r4"),
        made.ended(6, "r4", "e1:answered-200 first=600ms"),
        made.refused(3, "r5", "unauthenticated"),
        made.ended(5, "r6", "no-room", outcome="refused-overloaded"),
        made.ended(7, "r7", "no-room", outcome="refused-overloaded"),
    ]
    return sends.join(lines.read(texts).lines)


def groups_by_name(joined, by, window_s=2.0):
    return {
        group.name: group for group in summary.groups(joined, by, window_s)
    }


def test_group_of_a_route_has_delays_and_tokens(joined):
    groups = groups_by_name(joined, summary.By.ROUTE)
    assert list(groups) == ["(unknown)", "ask", "book"]
    ask = groups["ask"]
    assert (ask.sends, ask.unanswered, ask.refused) == (3, 0, 2)
    assert (ask.first_p50_ms, ask.first_p95_ms) == (600, 1500)
    assert (ask.fetch_due_p50_ms, ask.fetch_overdue) == (400, 1)
    assert (ask.fetched, ask.read) == (pytest.approx(14_000 / 3), 500)
    assert (ask.unseen_sends, ask.unseen_requests) == (1, 1)
    assert groups["(unknown)"].refused == 1


def test_routes_without_prompts_have_no_tokens(joined):
    book = groups_by_name(joined, summary.By.ROUTE)["book"]
    assert (book.sends, book.unanswered) == (1, 1)
    assert (book.first_p50_ms, book.held, book.fetched, book.read) == (
        None,
        None,
        None,
        None,
    )


def test_time_windows_are_in_order_from_the_first_send(joined):
    groups = groups_by_name(joined, summary.By.SECOND)
    assert [
        (name, group.sends, group.refused) for name, group in groups.items()
    ] == [
        ("0", 2, 0),
        ("2", 2, 1),
        ("4", 0, 1),
        ("6", 0, 1),
    ]


def test_time_windows_have_the_given_length(joined):
    assert list(groups_by_name(joined, summary.By.SECOND, 0.5))[:2] == [
        "0",
        "1",
    ]


def test_endpoints_have_no_refusals(joined):
    groups = groups_by_name(joined, summary.By.ENDPOINT)
    assert [
        (name, group.sends, group.refused) for name, group in groups.items()
    ] == [
        ("e1", 3, 0),
        ("e2", 1, 0),
    ]


def test_refusals_by_reason_name_an_example(joined):
    first, second = summary.reasons(joined)
    assert first == summary.Reason("overloaded", "ask", 2, 4.0, 6.0, "r7")
    assert (second.reason, second.route) == ("unauthenticated", "(unknown)")


def test_no_sends_give_no_groups():
    assert summary.groups(sends.Joined([], []), summary.By.ROUTE, 2.0) == []
    assert summary.reasons(sends.Joined([], [])) == []
