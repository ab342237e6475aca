"""Errors and helpers of decoding what the platform sends."""

from __future__ import annotations

import typing

import msgspec

Decoded = typing.TypeVar("Decoded")


class MalformedError(Exception):
    """A document of the platform that does not have its documented form."""


def decode(data: bytes, kind: type[Decoded]) -> Decoded:
    """Return a JSON document as a wire structure.

    Raises
    ------
    MalformedError
        With the field that is wrong.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        raise MalformedError(str(error)) from error


def header_number(text: str | None) -> float | None:
    """Return a header's number, ``None`` when absent or no number."""
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < float("inf") else None
