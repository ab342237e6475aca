from __future__ import annotations

import socket

import pytest

from briarseam.testing import ports
from briarseam.testing import waiting


def test_returns_the_first_true_result():
    results = iter([0, "", "ready"])
    assert waiting.until(lambda: next(results)) == "ready"


def test_giving_up_names_what_was_waited_for():
    with pytest.raises(TimeoutError, match="for the log; last result 0"):
        waiting.until(lambda: 0, timeout_s=0.02, what="the log")


def test_condition_is_tried_even_without_time():
    assert waiting.until(lambda: True, timeout_s=0)


def test_free_ports_are_distinct_and_can_be_bound():
    found = ports.free_ports(5)
    assert len(set(found)) == 5
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", found[0]))
