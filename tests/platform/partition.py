"""Cuts between one instance and all endpoints, in one process."""

from __future__ import annotations

import contextlib
import typing

from briarseam.forwarding import connections

if typing.TYPE_CHECKING:
    from briarseam.compose import node as compose


def refuse(*target: str) -> typing.NoReturn:
    """Fail to connect."""
    raise connections.UnreachableError(f"{target[-1]}: connection refused")


@contextlib.contextmanager
def from_endpoints(node: compose.Node) -> typing.Iterator[None]:
    """Let new connections of an instance to endpoints be refused."""
    saved = dict(vars(node.pool))
    close_idle(node.pool)
    for name in ("acquire", "connect"):
        if hasattr(node.pool, name):
            setattr(node.pool, name, refuse)
    try:
        yield
    finally:
        for name in ("acquire", "connect"):
            vars(node.pool).pop(name, None)
        vars(node.pool).update(
            (name, saved[name])
            for name in ("acquire", "connect")
            if name in saved
        )


def close_idle(pool: connections.Pool) -> None:
    """Close the connections that wait for their next request."""
    pool.keep_only(frozenset())
