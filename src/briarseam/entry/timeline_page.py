"""``GET /v1/timeline``: events of all processes, for operators."""

from __future__ import annotations

import typing

import cherrypy
import msgspec

from briarseam import verdict
from briarseam.entry import problems
from briarseam.timeline import event as events
from briarseam.timeline import messages

if typing.TYPE_CHECKING:
    from briarseam.entry import agent_link
    from briarseam.entry import operators

TIMEOUT_S = 8.0
DEFAULT_LIMIT = 1000


class TimelinePage:
    """Fetches the events through the agent, which queries all processes.

    Parameters
    ----------
    teams
        The teams whose operators may read the page.
    agent
        Calls to the agent.
    """

    exposed = True

    def __init__(
        self, teams: operators.Operators, agent: agent_link.AgentLink
    ) -> None:
        self.teams = teams
        self.agent = agent

    def GET(  # noqa: N802
        self,
        request: str = "",
        path: str = "",
        endpoint: str = "",
        limit: str = str(DEFAULT_LIMIT),
    ) -> bytes:
        """Return the events of a request, path or endpoint, or all events."""
        self.teams.check()
        if not limit.isascii() or not limit.isdigit():
            raise problems.malformed("limit is not a number")
        fetch = messages.FetchEvents(
            events.Filter(request, path, endpoint),
            messages.Scope.EVERYWHERE,
            int(limit[:9]),
        )
        try:
            fetched = self.agent.query(fetch, (messages.Events,), TIMEOUT_S)
        except verdict.RefusalError as error:
            raise problems.Problem(error.given) from error
        cherrypy.response.headers["Content-Type"] = "application/json"
        return msgspec.json.encode(fetched)
