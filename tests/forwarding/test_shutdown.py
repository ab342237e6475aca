from __future__ import annotations

import pytest

from briarseam.forwarding import shutdown as shutdowns
from briarseam.routes import model
from tests import clocks


def route(repeat):
    return model.Route("r", "h", "/", repeat, (), 1.0, 1.0, 1)


STREAM = route(model.Repeat.STREAM)
ONCE = route(model.Repeat.ONCE)


@pytest.mark.parametrize(
    ("since_s", "kind", "taken"),
    [
        pytest.param(0.0, STREAM, True, id="stream-at-once"),
        pytest.param(2.4, STREAM, True, id="stream-while-lookups-last"),
        pytest.param(2.6, STREAM, False, id="stream-that-would-be-cut"),
        pytest.param(2.6, ONCE, True, id="short-request"),
        pytest.param(5.6, ONCE, False, id="last-request"),
    ],
)
def test_only_what_ends_in_time_is_taken_after_the_order_to_stop(
    since_s, kind, taken
):
    """All instances are stopped in turn.  A stream that begins three
    seconds after SIGTERM is still running when its instance ends, and its
    caller sees it break off.
    """
    clock = clocks.ManualClock()
    shutdown = shutdowns.Shutdown(lambda: 7.0, clock)
    assert shutdown.takes(kind)
    shutdown.begin()
    clock.now_s += since_s
    shutdown.begin()
    assert shutdown.takes(kind) is taken
