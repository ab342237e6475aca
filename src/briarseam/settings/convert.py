"""Conversion of a value's text to its validated type."""

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
ADDRESS_TYPES = (sections.Address, sections.Address | None)


def is_secret(value_type: object) -> bool:
    """Return whether values of a type are secret and must be hidden."""
    return value_type in SECRET_TYPES


def describe_expected(key: str, value_type: object) -> str:
    """Return a description of the values that a key accepts."""
    if is_secret(value_type):
        return secret.EXPECTED
    if value_type in ADDRESS_TYPES:
        return address.EXPECTED
    if value_type == sections.Addresses:
        return f"a list of {address.EXPECTED}"
    if value_type == sections.Paths:
        return "a list of names or paths"
    if key.endswith(("_ms", "_s")):
        return "a duration"
    if key.endswith("_bytes"):
        return "a size"
    return "a value"


def parse_value(key: str, value_type: object, text: str) -> model.Value:
    """Parse the text of a value according to the type of its key.

    Parameters
    ----------
    key
        Key of the value; its suffix gives the unit of a number.
    value_type
        The annotated type of the key.
    text
        The value as written in the file.

    Raises
    ------
    ValueError
        If the text is not valid; its message says what is expected.
    """
    if is_secret(value_type):
        return secret.parse(text.encode())
    if value_type in ADDRESS_TYPES:
        return address.parse(text)
    if value_type == sections.Addresses:
        return tuple(address.parse(item) for item in split_list(text))
    if value_type == sections.Paths:
        return tuple(split_list(text))
    return validate(parse_units(key, text), value_type)


def split_list(text: str) -> list[str]:
    """Return the items of a list separated by commas or newlines."""
    parts = text.replace("\n", ",").split(",")
    return [part.strip() for part in parts if part.strip()]


def parse_units(key: str, text: str) -> str | int | float:
    """Return a number in the unit of its key, or the text if it has none."""
    if key.endswith("_ms"):
        return units.duration_ms(text)
    if key.endswith("_s"):
        return units.duration_s(text)
    if key.endswith("_bytes"):
        return units.size_bytes(text)
    return text


def validate(raw: str | int | float, value_type: object) -> model.Value:
    """Return a value without units after checking its type and bounds."""
    try:
        result: model.Value = msgspec.convert(raw, value_type, strict=False)
    except msgspec.ValidationError as error:
        expected = str(error).removeprefix("Expected ")
        raise ValueError(expected) from error
    return result
