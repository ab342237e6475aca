from __future__ import annotations

from tests.delays import made

from briarseam.delays import lines
from briarseam.delays import sends
from briarseam.delays import unseen


def find(*texts):
    return unseen.find(sends.join(lines.read(texts).lines).sends)


def test_work_of_another_instance_that_was_not_told_is_unseen():
    """Two instances choose the same engine within 30 ms, as neither knows
    of the other's prompt, and the second waits for the first one's reading.
    """
    found = find(
        made.sent_prompt(1, "r1", process="a"),
        made.sent_prompt(1.03, "r2", process="b"),
        made.ended(3, "r1", "e1:answered-200 first=100ms", process="a"),
        made.ended(3, "r2", "e1:answered-200 first=200ms", process="b"),
    )
    assert found == [unseen.Unseen(0, 0), unseen.Unseen(1, 900)]


def test_work_that_was_known_is_not_unseen():
    found = find(
        made.sent_prompt(1, "r1"),
        made.sent_prompt(
            1.03, "r2", requests_there=1, tokens_waiting_there=900
        ),
        made.ended(3, "r1", "e1:answered-200 first=100ms"),
        made.ended(3, "r2", "e1:answered-200 first=200ms"),
    )
    assert found[1] == unseen.Unseen(0, 0)


def test_a_prompt_stops_waiting_at_its_first_event_and_counts_until_its_end():
    found = find(
        made.sent_prompt(1, "r1"),
        made.ended(3, "r1", "e1:answered-200 first=100ms"),
        made.sent_prompt(2, "r2"),
        made.sent_prompt(4, "r3"),
    )
    assert found[1:] == [unseen.Unseen(1, 0), unseen.Unseen(0, 0)]


def test_work_at_another_endpoint_and_of_a_lost_instance_counts_not():
    found = find(
        made.sent(1, "r1", "e2"),
        made.ended(3, "r1", "e2:answered-200"),
        made.sent(1, "lost"),
        made.sent(2, "r2"),
    )
    assert found[-1] == unseen.Unseen(0, 0)


def test_work_that_was_counted_too_long_is_negative():
    (found,) = find(made.sent(2, "r", requests_there=2))
    assert found.requests == -2
