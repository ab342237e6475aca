from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from briarseam.placement import salts

NAMES = strategies.text(max_size=8) | strategies.text("/%* ab1", max_size=6)
SCOPES = strategies.builds(salts.Own, NAMES) | strategies.builds(
    salts.Group,
    strategies.integers(1, 10**6),
    strategies.text("0123456789abcdef", min_size=1, max_size=8),
)
SALTS = strategies.builds(
    salts.Salt,
    NAMES,
    strategies.integers(0, 2**53 - 1),
    SCOPES | strategies.sampled_from([salts.EVERYBODY, salts.Own(None)]),
)


@pytest.mark.parametrize(
    "salt, text",
    [
        pytest.param(salts.Salt("m", 3), "m/3/", id="all share"),
        pytest.param(
            salts.Salt("m", 3, salts.Own("north")), "m/3/north", id="isolated"
        ),
        pytest.param(
            salts.Salt("org/m:7b", 3), "org/m:7b/3/", id="slash in a model"
        ),
    ],
)
def test_salts_are_those_of_former_releases(salt, text):
    """Guards against an upgrade that makes all cached parts unreachable."""
    assert str(salt) == text
    assert salts.parse(text) == salt


@pytest.mark.parametrize(
    "text",
    [
        pytest.param("m/²/", id="superscript"),
        pytest.param("m/٣/", id="non-ASCII digits"),
        pytest.param(f"m/{'9' * 5000}/", id="too many digits"),
        pytest.param("m//", id="no version"),
        pytest.param("m/3", id="no organisation"),
        pytest.param("m/03/", id="leading zero"),
        pytest.param("m/3/*x", id="no group"),
        pytest.param("m/3/*0-ab", id="group without members"),
        pytest.param("m/3/a%2fb", id="other escape"),
        pytest.param("m/3/%ff", id="escape of no character"),
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


@hypothesis.given(SALTS)
@hypothesis.settings(deadline=None, derandomize=True)
def test_encoded_salt_is_parsed(salt):
    assert salts.parse(str(salt)) == salt


@hypothesis.given(SALTS, SALTS)
@hypothesis.settings(deadline=None, derandomize=True)
def test_different_salts_have_different_texts(one, other):
    """Guards against two organisations that share parts by their names."""
    assert (str(one) == str(other)) == (one == other)


@hypothesis.given(SALTS)
@hypothesis.settings(deadline=None, derandomize=True)
def test_salt_survives_a_header(salt):
    """Guards against salts that become one when spaces are dropped."""
    text = str(salt)
    assert text.isascii() and text.isprintable() and text.strip() == text
