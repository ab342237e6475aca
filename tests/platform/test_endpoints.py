"""Entries of endpoints."""

from __future__ import annotations

import msgspec
import pytest

from briarseam.discovery import starts
from briarseam.platform import decoding
from briarseam.platform import endpoints

ENTRY = {
    "service": "portal",
    "address": "10.0.0.1:80",
    "zone": "hall-a",
    "slots": 1,
    "state": "ready",
}


def decode(**changes):
    data = msgspec.json.encode(ENTRY | changes)
    return endpoints.decode_endpoint("i-1", data)


def test_entry_identifies_the_start_of_its_endpoint():
    assert decode(born=5).start == starts.Start("i-1", 5)


def test_entry_without_start_time_has_an_unknown_start():
    assert decode().start == starts.Start("i-1", starts.UNKNOWN_MS)


@pytest.mark.parametrize("born", [-1, 5.5, True, "5", None, [5], 2**60])
def test_entry_with_an_invalid_start_time_is_malformed(born):
    """Guards against a start time that is far in the future.

    It would make all later entries of the endpoint look outdated.
    """
    with pytest.raises(decoding.MalformedError):
        decode(born=born)
