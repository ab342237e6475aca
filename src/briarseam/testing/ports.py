"""Free TCP ports for processes that must be told their port beforehand."""

from __future__ import annotations

import contextlib
import socket


def free_ports(count: int, ip: str = "127.0.0.1") -> list[int]:
    """Return distinct TCP ports that nothing listens on.

    Another process may take one before it is used; whoever can should bind
    port 0 instead.

    Parameters
    ----------
    count
        Number of ports; all are held while the others are sought.
    ip
        IP number they are free on.
    """
    with contextlib.ExitStack() as held:
        ports = []
        for _ in range(count):
            sock = held.enter_context(socket.socket())
            sock.bind((ip, 0))
            ports.append(sock.getsockname()[1])
    return ports


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a TCP port that nothing listens on."""
    return free_ports(1, ip)[0]
