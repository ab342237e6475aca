"""Errors, bounds and helpers for decoding data of the platform."""

from __future__ import annotations

import contextlib
import types
import typing

import msgspec

from briarseam import malformed
from briarseam.settings import address as addresses

# Received numbers are summed and published to other instances in messages
# that carry 64 bits; a larger number would stop the heartbeats.
MAX_NUMBER = 2**53
# Per request or part; models accept a few million tokens.
MAX_TOKENS = 10**9
# Sockets accept no timeout above 2**31 ms.
MAX_MS = 1e9
# Bound for the names, ids and zones in entries, which are logged.
MAX_CHARACTERS = 200

Number = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Tokens = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]
Millis = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_MS)]
Text = typing.Annotated[str, msgspec.Meta(max_length=MAX_CHARACTERS)]
Factor = typing.Annotated[float, msgspec.Meta(ge=0, le=float(MAX_NUMBER))]
Decoded = typing.TypeVar("Decoded")

# The only error that the decoders of this package raise.
MalformedError = malformed.MalformedError


def decode(data: bytes, kind: type[Decoded]) -> Decoded:
    """Decode a JSON document into a wire structure.

    Raises
    ------
    MalformedError
        Names the invalid field.
    """
    with malformed.raised_as_malformed():
        return msgspec.json.decode(data, type=kind)


def decode_list(data: bytes, kind: type[Decoded]) -> list[Decoded]:
    """Decode a JSON list of wire structures of one kind.

    Raises
    ------
    MalformedError
        Names the first invalid element.
    """
    rows = types.GenericAlias(list, (kind,))
    with malformed.raised_as_malformed():
        return typing.cast(
            "list[Decoded]", msgspec.json.decode(data, type=rows)
        )


def decode_rows(
    rows: typing.Sequence[msgspec.Raw],
    kind: type[Decoded],
    on_malformed: typing.Callable[[MalformedError], None],
) -> list[Decoded]:
    """Return the well-formed rows of a document.

    Parameters
    ----------
    rows
        Encoded rows.
    kind
        Type of each row.
    on_malformed
        Called with the error of each row that is skipped.
    """
    # Lists have tens of thousands of rows, and most lists have no malformed
    # row; decoding row by row takes several times as long.
    with contextlib.suppress(MalformedError):
        return decode_list(b"[" + b",".join(rows) + b"]", kind)
    decoded: list[Decoded] = []
    for row in rows:
        try:
            decoded.append(decode(bytes(row), kind))
        except MalformedError as error:
            on_malformed(error)
    return decoded


def check_address(text: str) -> str:
    """Return an ``ip:port`` address without surrounding whitespace.

    Raises
    ------
    MalformedError
        If the text is not such an address.
    """
    with malformed.raised_as_malformed():
        return str(addresses.parse(text))


def check_id(text: str) -> str:
    """Return an endpoint's id if it is valid in a header.

    Raises
    ------
    MalformedError
        If it is not; a line break in an id would start another header.
    """
    if not text.isascii() or not text.isprintable() or text != text.strip():
        raise MalformedError("id is not valid in a header")
    if not 0 < len(text) <= MAX_CHARACTERS:
        raise MalformedError("id is empty or too long")
    return text


def header_flag(text: str | None) -> bool:
    """Return whether a header is set; it is by "1" only."""
    return text is not None and text.strip() == "1"


def header_integer(text: str | None) -> int | None:
    """Return the integer in a header; ``None`` if absent or invalid."""
    digits = "" if text is None else text.strip()
    if not digits.isascii() or not digits.isdigit():
        return None
    # Python refuses to convert numbers with thousands of digits.
    if len(digits) > len(str(MAX_NUMBER)):
        return None
    number = int(digits)
    return number if number <= MAX_NUMBER else None


def header_number(text: str | None) -> float | None:
    """Return the number in a header; ``None`` if absent or invalid."""
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number <= MAX_MS else None
