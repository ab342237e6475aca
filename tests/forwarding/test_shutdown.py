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
        pytest.param(0.0, LONG_S, True, id="stream-at-once"),
        pytest.param(2.4, LONG_S, True, id="stream-while-lookups-last"),
        pytest.param(2.6, LONG_S, False, id="stream-that-would-be-cut"),
        pytest.param(3.9, 3.0, True, id="stream-that-ends-in-time"),
        pytest.param(2.6, CALL_S, True, id="short-request"),
        pytest.param(5.4, SLOW_CALL_S, False, id="call-that-would-be-cut"),
        pytest.param(5.9, CALL_S, True, id="last-request-in-time"),
        pytest.param(6.1, CALL_S, False, id="last-request"),
    ],
)
def test_only_what_ends_in_time_is_taken_after_the_order_to_stop(
    elapsed_s, time_s, accepted
):
    """All instances are stopped in turn.  A stream that begins three
    seconds after SIGTERM is still running when its instance ends, and its
    caller sees it break off; so is a call that endpoints may work on for
    longer than the instance has.
    """
    clock = clocks.ManualClock()
    shutdown = shutdowns.Shutdown(lambda: 7.0, clock)
    assert shutdown.accepts(clock.now_s + time_s)
    shutdown.begin()
    clock.now_s += elapsed_s
    shutdown.begin()
    assert shutdown.accepts(clock.now_s + time_s) is accepted


def test_time_to_shut_down_counts_from_the_order_to_stop():
    """The order was noticed three seconds late, at the end of a start."""
    clock = clocks.ManualClock()
    shutdown = shutdowns.Shutdown(lambda: 7.0, clock)
    requested_s = clock.now_s
    clock.now_s += 3.0
    shutdown.begin(requested_s)
    assert shutdown.elapsed_ms() == 3000
    assert not shutdown.accepts(requested_s + 7.0 + CALL_S)
