"""Requests to endpoints that fail if they must reject too many."""

from __future__ import annotations

import concurrent.futures
import contextlib
import time

import pytest
import urllib3

from briarseam.eligibility import rejection_limits
from briarseam.testing import waiting
from tests.platform import instances
from tests.platform.test_endpoint_limits import call

TIMEOUT_S = 10
LIMIT = 2
# From the first answer that names the limit.
SETTLE_S = 3.0
PLAY_S = 6.0


def most_in_a_second(times, since_s):
    times = [at for at in times if at >= since_s]
    return max(
        (sum(first <= at < first + 1.0 for at in times) for first in times),
        default=0,
    )


def test_all_instances_together_have_no_more_rejected_than_named(system):
    """Guards against endpoints that fall over, as each instance asks them."""
    nodes = instances.start_others(system, 2)
    workers = [system.workers[name] for name in ("plain-1", "plain-2")]
    for worker in workers:
        worker.set(brittle=str(LIMIT), room=1, work_ms=30)
    start_s = time.monotonic()
    statuses = []

    def send(number):
        while time.monotonic() < start_s + PLAY_S:
            statuses.append(call(system, nodes[number % 3], number))

    with concurrent.futures.ThreadPoolExecutor(18) as pool:
        list(pool.map(send, range(18)))
    settled_s = start_s + SETTLE_S
    most = [most_in_a_second(one.turned_away_s, settled_s) for one in workers]
    assert max(most) <= LIMIT
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) > 20


def test_calls_are_served_while_nothing_is_rejected(system):
    await_part(system)
    for name in ("plain-1", "plain-2", "engine-1", "engine-2"):
        system.workers[name].set(brittle="3")
    statuses = {call(system, system.node, number) for number in range(60)}
    answers = {
        system.stream("/draft/x", Prefix_Hash=f"a{number}:1000").status
        for number in range(20)
    }
    assert statuses == answers == {200}


def await_part(system):
    """Wait until the instance may have a part of limits."""
    waiting.until(
        lambda: "one" in system.node.feeds.registrations.by_name, TIMEOUT_S
    )
    time.sleep(rejection_limits.HOLD_S)


def test_limit_is_known_and_ends(system):
    await_part(system)
    limits = system.node.eligibility.rejection_limits
    worker = system.workers["plain-1"]
    worker.set(brittle="3")
    waiting.until(
        lambda: (
            call(system, system.node, 0) == 200 and limits.limited_count() == 1
        ),
        TIMEOUT_S,
    )
    worker.set(brittle="")
    waiting.until(
        lambda: (
            call(system, system.node, 0) == 200 and limits.limited_count() == 0
        ),
        TIMEOUT_S,
    )


@pytest.mark.parametrize("text", ["many", "-1", "nan", ""])
def test_limit_that_cannot_be_read_is_none(system, text):
    system.workers["plain-1"].set(brittle=text)
    statuses = {call(system, system.node, number) for number in range(20)}
    assert statuses == {200}
    limits = system.node.eligibility.rejection_limits
    assert limits.limited_count() == 0


def test_no_request_stays_undecided(system):
    """Guards against a limit that is used up by requests long ended."""
    plain = [system.workers[name] for name in ("plain-1", "plain-2")]
    engines = [system.workers[name] for name in ("engine-1", "engine-2")]
    for switch in ({"reject": 2}, {"fail": 2}, {"reset": 2}, {"unsigned": 2}):
        for worker in plain:
            worker.set(**switch)
        for number in range(6):
            call(system, system.node, number)
    for worker in engines:
        worker.set(break_streams=2)
    for _ in range(6):
        with contextlib.suppress(urllib3.exceptions.ProtocolError):
            system.stream("/draft/x")
    limits = system.node.eligibility.rejection_limits
    waiting.until(lambda: not limits.undecided, TIMEOUT_S)
    assert system.call("/status/1", "GET").status == 200
