"""Headers that requests bear on their way to endpoints."""

from __future__ import annotations

from briarseam.forwarding import calls
from briarseam.platform import requests

CALL = calls.Call("r-1", "POST", "/draft/x", "h", ())
STORE = "172.20.0.2:8080"


def encoded(**instructions):
    return requests.encode_headers(
        CALL, calls.Instructions("engine-1@1700", **instructions)
    )


def test_end_of_a_fetch_goes_with_the_fetch():
    headers = encoded(fetch_from=(STORE, ""), fetch_until_ms=70_123.9)
    assert headers["Kv-Fetch"] == f"{STORE},-"
    assert headers["Kv-Until"] == "70123"


def test_no_end_is_told_without_a_fetch_or_a_clock():
    assert "Kv-Until" not in encoded(fetch_until_ms=70_123.9)
    assert "Kv-Until" not in encoded(fetch_from=(STORE, ""))
