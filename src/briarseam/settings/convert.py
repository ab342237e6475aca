"""Turning the text of one value into its validated type."""

from __future__ import annotations

import typing

import msgspec

from briarseam.settings import address
from briarseam.settings import secret
from briarseam.settings import sections
from briarseam.settings import units

if typing.TYPE_CHECKING:
    from briarseam.settings import model

SECRET_TYPES = (sections.Secret, sections.Secret | None)


def is_secret(kind: object) -> bool:
    """Return whether values of a type must not be shown."""
    return kind in SECRET_TYPES


def expected(key: str, kind: object) -> str:
    """Return in words what a key takes, for one that is missing."""
    if is_secret(kind):
        return secret.EXPECTED
    if kind is sections.Address:
        return address.EXPECTED
    if kind == sections.Addresses:
        return f"a list of {address.EXPECTED}"
    if kind == sections.Paths:
        return "a list of configuration paths"
    if key.endswith(("_ms", "_s")):
        return "a duration"
    if key.endswith("_bytes"):
        return "a size"
    return "a value"


def value(key: str, kind: object, text: str) -> model.Value:
    """Return a value of the type that a key has.

    Parameters
    ----------
    key
        Its ending tells the unit of a number.
    kind
        The annotated type of the key.
    text
        The value as written.

    Raises
    ------
    ValueError
        With what was expected, in words.
    """
    if is_secret(kind):
        return secret.parse(text.encode())
    if kind is sections.Address:
        return address.parse(text)
    if kind == sections.Addresses:
        return tuple(address.parse(item) for item in items(text))
    if kind == sections.Paths:
        return tuple(items(text))
    return checked(number(key, text), kind)


def items(text: str) -> list[str]:
    """Return the items of a list, parted by commas or line ends."""
    parts = text.replace("\n", ",").split(",")
    return [part.strip() for part in parts if part.strip()]


def number(key: str, text: str) -> str | int | float:
    """Return a value in the unit of its key, or the text if it has none."""
    if key.endswith("_ms"):
        return units.duration_ms(text)
    if key.endswith("_s"):
        return units.duration_s(text)
    if key.endswith("_bytes"):
        return units.size_bytes(text)
    return text


def checked(raw: str | int | float, kind: object) -> model.Value:
    """Return a plain value after checking its type and bounds."""
    try:
        result: model.Value = msgspec.convert(raw, kind, strict=False)
    except msgspec.ValidationError as error:
        words = str(error).removeprefix("Expected ")
        raise ValueError(words) from error
    return result
