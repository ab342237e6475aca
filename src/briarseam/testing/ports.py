"""Free TCP ports for processes that must be told their port beforehand."""

from __future__ import annotations

import contextlib
import random
import socket

reserved: list[socket.socket] = []
FIRST_PORT = 12_000
END_PORT = 32_000


def free_ports(count: int, ip: str = "127.0.0.1") -> list[int]:
    """Return distinct TCP ports that nothing listens on.

    They lie below those that the kernel gives to outgoing connections: a
    port from among these is often taken again before it is used.  Nor does
    another process that asks here get one while this process lives.

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
                reserve(port)
                ports.append(port)
    return ports


def reserve(port: int) -> None:
    """Keep a port from all others that ask here, until this process ends.

    Raises
    ------
    OSError
        When another process has reserved it.
    """
    sock = socket.socket(socket.AF_UNIX)
    try:
        # A name in the abstract namespace: no file, gone with the process.
        sock.bind(f"\0briarseam-test-port-{port}")
    except OSError:
        sock.close()
        raise
    reserved.append(sock)


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a TCP port that nothing listens on."""
    return free_ports(1, ip)[0]
