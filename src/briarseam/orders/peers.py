"""The other processes that may issue orders."""

from __future__ import annotations

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Peers:
    """The other processes that may issue orders; none by default.

    Attributes
    ----------
    precedence
        Position of this process among those that may acquire a lease, by
        name of the lease; 0 is first.
    owns
        Whether this process polls an engine on behalf of all.
    live
        Names of the processes that share the polling.
    reporting
        Names of the processes whose reports are used: live and leaving
        ones.  An owner that shuts down reports its engines until it exits.
        Without these reports this process has nothing to offer until it
        has polled the engines itself.
    known
        Names of all processes that answer operators.
    """

    precedence: typing.Callable[[str], int] = lambda lease: 0
    owns: typing.Callable[[str], bool] = lambda engine: True
    live: typing.Callable[[], typing.Collection[str]] = frozenset
    reporting: typing.Callable[[], typing.Collection[str]] = frozenset
    known: typing.Callable[[], typing.Collection[str]] = frozenset


NO_PEERS = Peers()
