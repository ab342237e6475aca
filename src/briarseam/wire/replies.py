"""Check of the type of a reply."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from briarseam.wire import codec

Reply = typing.TypeVar("Reply")


class NoReplyError(Exception):
    """An instance did not reply, or replied with an unexpected message."""


def require_type(reply: codec.Message, kind: type[Reply]) -> Reply:
    """Return a reply of the expected type.

    Raises
    ------
    NoReplyError
        When the reply is of another type.
    """
    if not isinstance(reply, kind):
        raise NoReplyError(f"unexpected reply {reply}")
    return reply
