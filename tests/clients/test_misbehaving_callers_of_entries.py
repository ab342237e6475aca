"""Crowds of callers that do not behave, against an entry.

As in `test_misbehaving_clients`; the memory of an entry is limited by a
setting of its own, so that only descriptors are judged here.
"""

from __future__ import annotations

import pytest

from tests.clients import crowds
from tests.clients import machines

pytestmark = [pytest.mark.alone, pytest.mark.timeout(180)]

SECONDS = 6.0
BODY_BYTES = 1024 * 1024
HEAD = b"POST /v1/answers HTTP/1.1\r\nHost: entry\r\n"
BODY = HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
CROWDS = {
    "silent": crowds.Client(),
    "heads": crowds.Client(HEAD),
    "heads-again": crowds.Client(HEAD, reopens=True),
    "heads-slowly": crowds.Client(HEAD, b"x", None, pause_s=0.2, reopens=True),
    "bodies": crowds.Client(BODY, b"x", BODY_BYTES - 1),
    "bodies-slowly": crowds.Client(
        BODY, b"x", None, pause_s=0.2, reopens=True
    ),
}


@pytest.fixture
def entry(tmp_path):
    # The memory of a process that is not told of any limit.
    limits = machines.Limits(memory_mb=400)
    with machines.EntryMachine(tmp_path, limits) as made:
        yield made


@pytest.mark.parametrize("name", CROWDS)
def test_crowd_takes_neither_descriptors_nor_service(entry, name):
    """Guards against crowds that take all descriptors and threads."""
    with crowds.crowding(entry.address, CROWDS[name], 1000, SECONDS):
        pass
    entry.check()
