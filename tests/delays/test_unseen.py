from __future__ import annotations

from tests.delays import made

from briarseam.delays import lines
from briarseam.delays import sends
from briarseam.delays import unseen


def unseen_work(*texts):
    return unseen.unseen_work(sends.join(lines.read(texts).lines).sends)


def test_unreported_work_of_another_instance_is_unseen():
    """Two instances choose the same engine within 30 ms, before either knows
    the other's prompt; the second prompt waits until the first is computed.
    """
    unseen_by_send = unseen_work(
        made.sent_prompt(1, "r1", process="a"),
        made.sent_prompt(1.03, "r2", process="b"),
        made.ended(3, "r1", "e1:answered-200 first=100ms", process="a"),
        made.ended(3, "r2", "e1:answered-200 first=200ms", process="b"),
    )
    assert unseen_by_send == [unseen.Unseen(0, 0), unseen.Unseen(1, 900)]


def test_known_work_is_not_unseen():
    unseen_by_send = unseen_work(
        made.sent_prompt(1, "r1"),
        made.sent_prompt(
            1.03, "r2", requests_there=1, tokens_waiting_there=900
        ),
        made.ended(3, "r1", "e1:answered-200 first=100ms"),
        made.ended(3, "r2", "e1:answered-200 first=200ms"),
    )
    assert unseen_by_send[1] == unseen.Unseen(0, 0)


def test_prompt_waits_until_its_first_event_and_counts_until_its_end():
    unseen_by_send = unseen_work(
        made.sent_prompt(1, "r1"),
        made.ended(3, "r1", "e1:answered-200 first=100ms"),
        made.sent_prompt(2, "r2"),
        made.sent_prompt(4, "r3"),
    )
    assert unseen_by_send[1:] == [unseen.Unseen(1, 0), unseen.Unseen(0, 0)]


def test_work_at_another_endpoint_or_of_a_lost_instance_is_not_counted():
    unseen_by_send = unseen_work(
        made.sent(1, "r1", "e2"),
        made.ended(3, "r1", "e2:answered-200"),
        made.sent(1, "lost"),
        made.sent(2, "r2"),
    )
    assert unseen_by_send[-1] == unseen.Unseen(0, 0)


def test_work_that_already_ended_is_negative():
    (work,) = unseen_work(made.sent(2, "r", requests_there=2))
    assert work.requests == -2
