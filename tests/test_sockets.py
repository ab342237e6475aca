from __future__ import annotations

import socket

import pytest

from briarseam import sockets


def gives_up(options, silent_from_s, silent_until_s):
    """Return whether an idle connection ends while its peer is silent.

    Follows the rules of Linux: a probe when nothing was received for the idle
    time, then one each interval.  With a user timeout that, and not the
    number of probes, decides when to give up.
    """
    values = {(level, name): value for level, name, value in options}
    idle_s = values[socket.IPPROTO_TCP, socket.TCP_KEEPIDLE]
    interval_s = values[socket.IPPROTO_TCP, socket.TCP_KEEPINTVL]
    timeout_s = values[socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT] / 1000
    received_s, probe_s, unanswered = 0.0, float(idle_s), 0
    while probe_s < silent_until_s + 10:
        if unanswered and probe_s - received_s >= timeout_s:
            return True
        if silent_from_s <= probe_s < silent_until_s:
            unanswered += 1
            probe_s += interval_s
        else:
            received_s, unanswered = probe_s, 0
            probe_s += idle_s
    return False


@pytest.mark.parametrize("silence_s", [0.5, 1.0, 1.3, 1.6, 1.9])
def test_endpoint_that_is_silent_for_a_moment_keeps_its_connections(silence_s):
    """Guards against requests lost at an endpoint that soon goes on."""
    ends = [
        from_s / 100
        for from_s in range(0, 300, 5)
        if gives_up(
            sockets.ENDPOINT_OPTIONS, from_s / 100, from_s / 100 + silence_s
        )
    ]
    assert ends == []


@pytest.mark.parametrize(
    "options", [sockets.OPTIONS, sockets.ENDPOINT_OPTIONS]
)
def test_connection_that_is_silent_for_good_ends(options):
    assert gives_up(options, 0.0, 6.0)
