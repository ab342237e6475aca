from __future__ import annotations

import hypothesis
from hypothesis import strategies

from briarseam.admission import fair_queue


def rank(priority=5, deadline_at=100.0):
    return fair_queue.Rank(priority, deadline_at)


def serve(queue, count, cost_s=1.0):
    """Serve a number of requests; return their organisations."""
    served = []
    for _ in range(count):
        organisation, _ = queue.head()
        queue.pop(organisation)
        queue.charge(organisation, cost_s)
        served.append(organisation)
    return served


def test_a_burst_does_not_delay_a_small_organisation():
    """One organisation queues a hundred requests, then another queues one.
    In order of arrival it would wait for all hundred; here it is among the
    next two.
    """
    queue = fair_queue.FairQueue(lambda name: 1.0)
    for number in range(100):
        queue.push("chain", rank(), number)
    serve(queue, 10)
    queue.push("kitchen", rank(), "one")
    assert "kitchen" in serve(queue, 2)


def test_service_is_proportional_to_weights():
    """With weights 3 and 1 and both organisations backlogged, the first gets
    about thirty of forty grants.
    """
    weights = {"large": 3.0, "small": 1.0}
    queue = fair_queue.FairQueue(weights.__getitem__)
    for number in range(100):
        queue.push("large", rank(), number)
        queue.push("small", rank(), number)
    served = serve(queue, 40)
    assert 28 <= served.count("large") <= 32


def test_idle_time_earns_no_credit():
    """An organisation that was idle sends a burst.  With credit for the idle
    time it would be served alone until the credit is used up.
    """
    queue = fair_queue.FairQueue(lambda name: 1.0)
    for number in range(100):
        queue.push("busy", rank(), number)
    serve(queue, 50)
    for number in range(50):
        queue.push("quiet", rank(), number)
    served = serve(queue, 20)
    assert 9 <= served.count("busy") <= 11


def test_own_requests_are_ordered_by_priority_then_deadline():
    """Within an organisation the higher priority goes first, then the
    earlier deadline.
    """
    queue = fair_queue.FairQueue(lambda name: 1.0)
    queue.push("a", rank(5, 30.0), "late")
    queue.push("a", rank(5, 20.0), "early")
    queue.push("a", rank(1, 90.0), "urgent")
    order = [queue.pop("a") for _ in range(3)]
    assert order == ["urgent", "early", "late"]


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("abc"),
            strategies.floats(0.01, 10.0),
            strategies.booleans(),
        ),
        max_size=200,
    )
)
def test_no_request_is_lost_and_idle_flows_are_removed(steps):
    """For any mix of pushes, grants and removals each request was served, was
    removed or is still queued, and idle organisations use no memory.
    """
    queue = fair_queue.FairQueue(lambda name: 1.0)
    expected = 0
    for number, (organisation, cost_s, serving) in enumerate(steps):
        if serving and len(queue):
            name, _ = queue.head()
            queue.pop(name)
            queue.charge(name, cost_s)
            expected -= 1
        else:
            item = object()
            queue.push(organisation, rank(), item)
            expected += 1
            if number % 5 == 0:
                assert queue.remove(organisation, item)
                expected -= 1
    assert len(queue) == expected == len(queue.items())
    queue.remove_idle()
    ahead = [flow for flow in queue.flows.values() if not flow.heap]
    assert all(flow.finish_tag > queue.virtual_time for flow in ahead)
