"""Replies that must be of one kind."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from briarseam.wire import codec

Reply = typing.TypeVar("Reply")


class NoReplyError(Exception):
    """An instance did not answer, or not with what was asked for."""


def require_type(reply: codec.Message, kind: type[Reply]) -> Reply:
    """Return a reply of the expected kind.

    Raises
    ------
    NoReplyError
        When it is of another.
    """
    if not isinstance(reply, kind):
        raise NoReplyError(f"answered {reply}")
    return reply
