"""What endpoints say of themselves."""

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


def test_entry_names_the_start_of_its_endpoint():
    assert decode(born=5).start == starts.Start("i-1", 5)


def test_entry_of_an_endpoint_that_does_not_say_when_it_started():
    assert decode().start == starts.Start("i-1", starts.UNKNOWN_MS)


@pytest.mark.parametrize("born", [-1, 5.5, True, "5", None, [5], 2**60])
def test_entry_whose_birth_is_no_time_is_malformed(born):
    """An entry comes from another writer.  A birth far ahead would make
    all true entries of the endpoint look outdated for good.
    """
    with pytest.raises(decoding.MalformedError):
        decode(born=born)
