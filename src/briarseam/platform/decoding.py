"""Errors and helpers of decoding what the platform sends."""

from __future__ import annotations

import contextlib
import types
import typing

import msgspec

from briarseam import malformed
from briarseam.settings import address as addresses

# Numbers from elsewhere are summed here and told to other instances, whose
# messages carry 64 bits; a larger one would end the heartbeats.
MAX_NUMBER = 2**53
# Largest number of tokens of one request or part; models take some millions.
MAX_TOKENS = 10**9
# A socket takes no timeout beyond 2**31 ms.
MAX_MS = 1e9
# Longest name, id or availability zone of an entry; they are logged.
MAX_CHARACTERS = 200

Number = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Tokens = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]
Millis = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_MS)]
Text = typing.Annotated[str, msgspec.Meta(max_length=MAX_CHARACTERS)]
Factor = typing.Annotated[float, msgspec.Meta(ge=0, le=float(MAX_NUMBER))]
Decoded = typing.TypeVar("Decoded")

# What the decoders of this package raise, and nothing else.
MalformedError = malformed.MalformedError


def decode(data: bytes, kind: type[Decoded]) -> Decoded:
    """Return a JSON document as a wire structure.

    Raises
    ------
    MalformedError
        With the field that is wrong.
    """
    with malformed.raised_as_malformed():
        return msgspec.json.decode(data, type=kind)


def decode_list(data: bytes, kind: type[Decoded]) -> list[Decoded]:
    """Return a JSON list of wire structures of one kind.

    Raises
    ------
    MalformedError
        With the first place that is wrong.
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
    """Return the rows of a document that have their documented form.

    Parameters
    ----------
    rows
        The rows, not yet decoded.
    kind
        Of each row.
    on_malformed
        Called with the error of each row that is left out.
    """
    # Lists have tens of thousands of rows, mostly all well-formed; decoding
    # them one by one takes several times as long.
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
    """Return an address without spaces around it, if it is ``ip:port``.

    Raises
    ------
    MalformedError
        If it is none.
    """
    with malformed.raised_as_malformed():
        return str(addresses.parse(text))


def check_id(text: str) -> str:
    """Return an endpoint's id as it is, if it can stand in a header.

    Raises
    ------
    MalformedError
        If it can't; a line break in it would begin another header.
    """
    if not text.isascii() or not text.isprintable() or text != text.strip():
        raise MalformedError("the id can't stand in a header")
    if not 0 < len(text) <= MAX_CHARACTERS:
        raise MalformedError("the id is empty or too long")
    return text


def header_integer(text: str | None) -> int | None:
    """Return a header's whole number, ``None`` when absent or none."""
    digits = "" if text is None else text.strip()
    if not digits.isascii() or not digits.isdigit():
        return None
    # Python refuses to read numbers of some thousand digits.
    if len(digits) > len(str(MAX_NUMBER)):
        return None
    number = int(digits)
    return number if number <= MAX_NUMBER else None


def header_number(text: str | None) -> float | None:
    """Return a header's number, ``None`` when absent or no number."""
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number <= MAX_MS else None
