from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from briarseam.placement import salts


def test_salt_is_found_again_in_its_text():
    salt = salts.Salt("m", 3, "north")
    assert salts.parse(str(salt)) == salt


@pytest.mark.parametrize(
    "text",
    [
        pytest.param("m/²/", id="superscript"),
        pytest.param("m/٣/", id="digits beyond ASCII"),
        pytest.param(f"m/{'9' * 5000}/", id="too many digits"),
        pytest.param("m//", id="no version"),
        pytest.param("m/3", id="no organisation"),
    ],
)
def test_text_of_another_writer_is_no_salt(text):
    """Somebody else saves a part under a text of its own.

    The thread that frees parts of old weights ended at it, and the store
    filled up.
    """
    assert salts.parse(text) is None


@hypothesis.given(strategies.text(max_size=40))
@hypothesis.settings(deadline=None, derandomize=True)
def test_any_text_is_read_or_none(text):
    found = salts.parse(text)
    assert found is None or found.version >= 0
