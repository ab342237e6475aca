from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from briarseam.placement import salts


def test_encoded_salt_is_parsed():
    salt = salts.Salt("m", 3, "north")
    assert salts.parse(str(salt)) == salt


@pytest.mark.parametrize(
    "text",
    [
        pytest.param("m/²/", id="superscript"),
        pytest.param("m/٣/", id="non-ASCII digits"),
        pytest.param(f"m/{'9' * 5000}/", id="too many digits"),
        pytest.param("m//", id="no version"),
        pytest.param("m/3", id="no organisation"),
    ],
)
def test_text_of_another_writer_is_not_parsed(text):
    """Guards against an error that ends the thread that frees stale parts.

    Another writer saves a part with a salt of another form; the store would
    fill up.
    """
    assert salts.parse(text) is None


@hypothesis.given(strategies.text(max_size=40))
@hypothesis.settings(deadline=None, derandomize=True)
def test_parse_accepts_any_text(text):
    salt = salts.parse(text)
    assert salt is None or salt.version >= 0
