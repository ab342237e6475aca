from __future__ import annotations

from tests.delays import made

from briarseam.delays import lines
from briarseam.delays import sends


def join(*texts):
    return sends.join(lines.read(texts).lines)


def test_each_send_of_a_request_has_its_own_outcome_and_end():
    """The first endpoint rejects the request and the second answers it; a
    delay of the second must not be attributed to the first.
    """
    joined = join(
        made.sent(1, "r", "e1"),
        made.sent(1.25, "r", "e2"),
        made.ended(
            3,
            "r",
            "no-room least-fill=1.04 engines=6",
            "e1:rejected-503",
            "e2:answered-200 first=500ms",
        ),
    )
    first, second = joined.sends
    assert (first.answered, first.first_ms) == (False, None)
    assert first.ended_s - first.sent_s == 0.25
    assert (second.answered, second.first_ms) == (True, 500)
    assert second.ended_s - second.sent_s == 1.75
    assert {send.route for send in joined.sends} == {"ask"}
    assert joined.refusals == []


def test_sends_to_the_same_endpoint_are_distinguished():
    joined = join(
        made.sent(1, "r"),
        made.sent(2, "r"),
        made.ended(
            3,
            "r",
            "e1:broken (reset: first=9ms)",
            "e1:answered-200 first=7ms",
        ),
    )
    assert [send.first_ms for send in joined.sends] == [None, 7]


def test_same_id_at_two_instances_is_two_requests():
    joined = join(
        made.sent(1, "r", process="a"),
        made.sent(1.5, "r", process="b"),
        made.ended(2, "r", "e1:answered-200", process="b"),
    )
    assert [send.ended_s is None for send in joined.sends] == [True, False]


def test_send_of_a_killed_instance_has_no_end():
    (send,) = join(made.sent(1, "r")).sends
    assert (send.route, send.answered, send.ended_s) == ("", False, None)


def test_refusals_with_and_without_a_route_are_found():
    joined = join(
        made.refused(1, "r1", "unauthenticated"),
        made.ended(2, "r2", "no-room", outcome="refused-overloaded"),
    )
    assert [
        (refusal.request, refusal.route, refusal.reason)
        for refusal in joined.refusals
    ] == [
        ("r1", "", "unauthenticated"),
        ("r2", "ask", "overloaded"),
    ]
