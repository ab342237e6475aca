from __future__ import annotations

import dataclasses

import pytest

from briarseam.forwarding import calls
from briarseam.forwarding import relay_headers

KEY = b"k" * 32
CALL = calls.Call("r1", "POST", "/submit/1?a=b", "kitchens.example", ())
USAGE = relay_headers.Usage(sends=2, counted=True, waited_s=0.25)


def test_usage_is_read_as_it_was_written():
    value = relay_headers.encode(KEY, CALL, USAGE)
    assert relay_headers.decode(KEY, CALL, value) == USAGE


@pytest.mark.parametrize(
    "other",
    [
        dataclasses.replace(CALL, id="r2"),
        dataclasses.replace(CALL, method="GET"),
        dataclasses.replace(CALL, target="/submit/2"),
    ],
)
def test_header_of_another_request_is_refused(other):
    value = relay_headers.encode(KEY, CALL, USAGE)
    assert relay_headers.decode(KEY, other, value) is None


def test_header_of_another_key_is_refused():
    value = relay_headers.encode(b"x" * 32, CALL, USAGE)
    assert relay_headers.decode(KEY, CALL, value) is None


def test_changed_usage_is_refused():
    value = relay_headers.encode(KEY, CALL, USAGE)
    assert relay_headers.decode(KEY, CALL, f"0{value[1:]}") is None


@pytest.mark.parametrize("value", ["", " ", "0 1", "a b c", "\u00e9 \u00e9"])
def test_malformed_header_is_refused(value):
    assert relay_headers.decode(KEY, CALL, value) is None
