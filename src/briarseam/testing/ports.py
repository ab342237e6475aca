"""Free TCP ports for processes that must be told their port beforehand."""

from __future__ import annotations

import contextlib
import random
import socket

FIRST_PORT = 12_000
END_PORT = 32_000


def free_ports(count: int, ip: str = "127.0.0.1") -> list[int]:
    """Return distinct TCP ports that nothing listens on.

    They lie below those that the kernel gives to outgoing connections: a
    port from among these is often taken again before it is used.  Another
    process may still take one; whoever can should bind port 0 instead.

    Parameters
    ----------
    count
        Number of ports; all are held while the others are sought.
    ip
        IP number they are free on.
    """
    ports: list[int] = []
    with contextlib.ExitStack() as held:
        while len(ports) < count:
            port = random.randrange(FIRST_PORT, END_PORT)
            sock = held.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                sock.bind((ip, port))
                ports.append(port)
    return ports


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a TCP port that nothing listens on."""
    return free_ports(1, ip)[0]
