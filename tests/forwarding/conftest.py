from __future__ import annotations

import socket

import pytest

from briarseam import clocks
from briarseam.forwarding import supervision

DEADLINE_S = 10.0


@pytest.fixture
def watch():
    """A watch of a request whose caller stays."""
    local, remote = socket.socketpair()
    with local, remote:
        yield supervision.Watch(local, clocks.boot_clock() + DEADLINE_S)
