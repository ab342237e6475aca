from __future__ import annotations

import pytest

from briarseam.forwarding import shutdown as shutdowns
from tests import clocks

LONG_S = 15.0
CALL_S = 1.0
SLOW_CALL_S = 2.5


@pytest.mark.parametrize(
    ("elapsed_s", "time_s", "accepted"),
    [
        pytest.param(0.0, LONG_S, True, id="stream-immediately"),
        pytest.param(2.4, LONG_S, True, id="stream-while-lookups-are-valid"),
        pytest.param(2.6, LONG_S, False, id="stream-that-would-be-cut-off"),
        pytest.param(3.9, 3.0, True, id="stream-that-ends-in-time"),
        pytest.param(2.6, CALL_S, True, id="short-request"),
        pytest.param(5.4, SLOW_CALL_S, False, id="call-that-would-be-cut-off"),
        pytest.param(5.9, CALL_S, True, id="last-request-in-time"),
        pytest.param(6.1, CALL_S, False, id="request-too-late"),
    ],
)
def test_only_requests_that_end_in_time_are_accepted_after_a_stop_request(
    elapsed_s, time_s, accepted
):
    """All instances are stopped in turn.  A stream that starts three seconds
    after SIGTERM is still running when its instance ends, and is truncated
    for its caller.  The same happens to a call on which endpoints may work
    for longer than the remaining time of the instance.
    """
    clock = clocks.ManualClock()
    shutdown = shutdowns.Shutdown(lambda: 7.0, clock)
    assert shutdown.accepts(clock.now_s + time_s)
    shutdown.begin()
    clock.now_s += elapsed_s
    shutdown.begin()
    assert shutdown.accepts(clock.now_s + time_s) is accepted


def test_time_to_shut_down_counts_from_the_stop_request():
    """A stop request that arrives during startup is noticed three seconds
    later, when the startup ends.
    """
    clock = clocks.ManualClock()
    shutdown = shutdowns.Shutdown(lambda: 7.0, clock)
    requested_s = clock.now_s
    clock.now_s += 3.0
    shutdown.begin(requested_s)
    assert shutdown.elapsed_ms() == 3000
    assert not shutdown.accepts(requested_s + 7.0 + CALL_S)
