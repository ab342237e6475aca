"""Choosing an endpoint and learning from how runs start and end."""

from __future__ import annotations

import threading
import typing

import xxhash

from briarseam.configuration import schema
from briarseam.routing import state

RETRY_AFTER_S = 1.0
ViewSource = typing.Callable[[], schema.View]
EndpointSet = typing.Callable[[], frozenset[str]]


class Chooser:
    """Chooses endpoints by the runs this agent has under way there.

    Parameters
    ----------
    view
        Present configuration.
    leaving
        Endpoints that are known to leave.
    """

    def __init__(self, view: ViewSource, leaving: EndpointSet) -> None:
        self.view = view
        self.leaving = leaving
        self.running: dict[str, int] = {}
        self.lock = threading.Lock()

    def choose_engine(
        self, ask: state.PromptAsk
    ) -> state.Choice | state.NoChoice:
        """Return the engine for a prompt."""
        view = self.view()
        model = view.models[ask.model]
        candidates = [
            name
            for name, endpoint in view.endpoints.items()
            if endpoint.kind is schema.EndpointKind.ENGINE
            and ask.model in endpoint.models
        ]
        name = self.pick(candidates, ask.excluded, ask.session)
        if name is None:
            return no_choice(f"no endpoint serves {ask.model}")
        return state.Choice(
            endpoint=name,
            address=view.endpoints[name].address,
            version=ask.version or model.version,
            adapter=model.adapter,
        )

    def choose_service(
        self, ask: state.CallAsk
    ) -> state.Choice | state.NoChoice:
        """Return the endpoint for a call."""
        view = self.view()
        candidates = [
            name
            for name, endpoint in view.endpoints.items()
            if endpoint.kind is schema.EndpointKind.SERVICE
            and ask.service in endpoint.services
        ]
        name = self.pick(candidates, ask.excluded, "")
        if name is None:
            return no_choice(f"no endpoint serves {ask.service}")
        return state.Choice(name, view.endpoints[name].address)

    def pick(
        self, names: list[str], excluded: frozenset[str], session: str
    ) -> str | None:
        """Return the least used name; a session's own order breaks ties."""
        view = self.view()
        leaving = self.leaving() | excluded
        usable = [
            name
            for name in names
            if name not in leaving
            and view.endpoints[name].state is schema.EndpointState.SERVING
        ]
        if not usable:
            return None
        return min(
            usable,
            key=lambda name: (
                self.running.get(name, 0),
                xxhash.xxh64_intdigest(f"{session}\0{name}".encode()),
            ),
        )

    def note_start(self, endpoint: str) -> None:
        """Count a run that was granted."""
        with self.lock:
            self.running[endpoint] = self.running.get(endpoint, 0) + 1

    def note_end(self, endpoint: str) -> None:
        """Count a run out."""
        with self.lock:
            left = self.running.get(endpoint, 0) - 1
            if left > 0:
                self.running[endpoint] = left
            else:
                self.running.pop(endpoint, None)


def no_choice(detail: str) -> state.NoChoice:
    """Return the outcome when nothing can take a request."""
    return state.NoChoice(detail, RETRY_AFTER_S)
