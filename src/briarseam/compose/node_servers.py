"""Composing the HTTP servers of the one process."""

from __future__ import annotations

import typing

from briarseam.forwarding import server as http

if typing.TYPE_CHECKING:
    from briarseam.compose import small_answers
    from briarseam.settings import sections
    from briarseam.settings import serving

Handle = typing.Callable[[http.Exchange], None]


def build(
    listen: serving.Listen,
    forward: Handle,
    small: small_answers.SmallAnswers,
) -> dict[str, http.Server]:
    """Return the servers by what they are for, nothing bound.

    Parameters
    ----------
    listen
        Where they take connections.
    forward
        Answers callers' requests.
    small
        Answers everything else.
    """
    handles: dict[str, tuple[sections.Address, Handle]] = {
        "callers": (listen.callers, forward),
        "readiness": (listen.readiness, small.readiness),
        "lookups": (listen.lookups, small.addresses),
        "metrics": (listen.metrics, small.scrape),
    }
    return {
        name: http.Server(name, (address.ip, address.port), handle)
        for name, (address, handle) in handles.items()
    }
