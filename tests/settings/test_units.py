from __future__ import annotations

import pytest

from briarseam.settings import address
from briarseam.settings import units


@pytest.mark.parametrize(
    ("text", "expected"),
    [("250ms", 250), ("3s", 3000), ("1.5 s", 1500), ("2m", 120_000), ("7", 7)],
)
def test_duration_is_converted_to_milliseconds(text, expected):
    assert units.duration_ms(text) == expected


def test_duration_s_without_unit_is_in_seconds():
    assert units.duration_s("2") == 2.0
    assert units.duration_s("250ms") == 0.25


@pytest.mark.parametrize(
    ("text", "expected"), [("64KiB", 65_536), ("1MiB", 1_048_576), ("9", 9)]
)
def test_size_is_converted_to_bytes(text, expected):
    assert units.size_bytes(text) == expected


@pytest.mark.parametrize(
    "text", ["", "ms", "-1s", "1 day", "1e3ms", "0.5ms", "٣s", "1s2ms"]
)
def test_invalid_duration_is_rejected(text):
    with pytest.raises(ValueError, match="number|units"):
        units.duration_ms(text)


@pytest.mark.parametrize("text", ["127.0.0.1:80", "[::1]:80"])
def test_address_round_trips(text):
    assert str(address.parse(text)) == text


@pytest.mark.parametrize(
    "text",
    ["", "127.0.0.1", ":80", "::1:80", "[127.0.0.1]:80", "127.0.0.1:0", "h:1"],
)
def test_invalid_address_is_rejected(text):
    with pytest.raises(ValueError, match="IP:port"):
        address.parse(text)
