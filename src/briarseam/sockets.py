"""Options of connections to other processes."""

from __future__ import annotations

import socket

# A connection that went silent without a reset shows only by probes that
# stay unanswered: idle for a second, then one each second.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
# What was sent and stays unacknowledged for this long ends the connection.
# Once set, it also decides when unanswered probes do, whatever their number.
UNACKNOWLEDGED_MS = 2000
# A running endpoint may be silent for a second and more.  Its first probe is
# lost at once then, and the next two must come before its connections end.
ENDPOINT_UNACKNOWLEDGED_MS = 3500


def options_of(unacknowledged_ms: int) -> list[tuple[int, int, int | bytes]]:
    """Return the options of a connection.

    Parameters
    ----------
    unacknowledged_ms
        How long the other side may be silent.
    """
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms),
    ]


OPTIONS = options_of(UNACKNOWLEDGED_MS)
# For requests of callers.
ENDPOINT_OPTIONS = options_of(ENDPOINT_UNACKNOWLEDGED_MS)
