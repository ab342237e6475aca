"""Cuts between one instance and other parts, in one process."""

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


@contextlib.contextmanager
def from_origins(node: compose.Node) -> typing.Iterator[None]:
    """Drop the datagrams by which instances exchange origins of streams."""
    saved = dict(vars(node.origins))
    vars(node.origins).update(
        send=lambda message, addresses: True,
        handle=lambda datagram, sender: None,
    )
    try:
        yield
    finally:
        for name in ("send", "handle"):
            vars(node.origins).pop(name, None)
        vars(node.origins).update(
            (name, saved[name]) for name in ("send", "handle") if name in saved
        )
