"""The other processes that could give orders."""

from __future__ import annotations

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Peers:
    """The other processes that could give orders; none by default.

    Attributes
    ----------
    precedence
        Place of this process among those that may take a lease, by name
        of the lease; 0 first.
    owns
        Whether this process polls an engine for all of them.
    live
        Names of those that share the polling.
    reporting
        Names of those whose reports count: the live ones, and those that
        are leaving.  An owner that shuts down reports its engines until it
        exits; without them this process would have nothing to offer until
        it has polled them itself.
    known
        Names of all that answer operators.
    """

    precedence: typing.Callable[[str], int] = lambda lease: 0
    owns: typing.Callable[[str], bool] = lambda engine: True
    live: typing.Callable[[], typing.Collection[str]] = frozenset
    reporting: typing.Callable[[], typing.Collection[str]] = frozenset
    known: typing.Callable[[], typing.Collection[str]] = frozenset


NO_PEERS = Peers()
