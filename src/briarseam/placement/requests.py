"""What is to be placed, where it goes, and whether it fits there."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.placement import loads as load_module
from briarseam.placement import salts

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery
    from briarseam.forwarding import calls
    from briarseam.routes import model as routes

# An engine whose memory is full preempts runs and reads their prompts again,
# which makes all of them slower.  Kinds of small prompts may use what others
# must leave.
SMALL_TOKENS = 3000
SMALL_FILL = 1.0
LARGE_FILL = 0.9


@dataclasses.dataclass(frozen=True)
class Request:
    """What is to be placed.

    Attributes
    ----------
    call, route, service
        What is asked, and of which service.
    organisation
        Who asks; ``None`` for anyone.
    aim_left_s
        Until its answer, or the first event of it, should be there, in
        seconds; negative once that is over.
    tried
        Endpoints that it was sent to already.
    begun
        Whether its caller has a part of the answer.
    """

    call: calls.Call
    route: routes.Route
    service: routes.Service
    organisation: routes.Organisation | None
    aim_left_s: float
    tried: frozenset[str] = frozenset()
    begun: bool = False


@dataclasses.dataclass(frozen=True)
class Placement:
    """Where a request goes.

    Attributes
    ----------
    endpoint
        The endpoint.
    instructions
        What to tell it.
    missing_tokens
        Prompt tokens that it has to read, as far as known.
    held_tokens, fetched_tokens
        Prompt tokens that it has, and that it can fetch.
    fetch_late_s
        Time after which what it fetches comes late.
    load
        Work known at the endpoint when it was chosen.
    endpoints_age_s
        Time since the list of endpoints was read, in seconds.
    """

    endpoint: discovery.Endpoint
    instructions: calls.Instructions
    missing_tokens: int = 0
    held_tokens: int = 0
    fetched_tokens: int = 0
    fetch_late_s: float = 0.0
    load: load_module.Load = load_module.NO_LOAD
    endpoints_age_s: float = 0.0

    def sources(self) -> frozenset[str]:
        """Return the stores that it fetches from."""
        return frozenset(filter(None, self.instructions.fetch_from))

    def log_fields(self) -> dict[str, int | str]:
        """Return what decided, for the log."""
        found: dict[str, int | str] = {
            "requests_there": self.load.requests,
            "endpoints_age_ms": round(self.endpoints_age_s * 1000),
        }
        if self.instructions.salt:
            found["tokens_waiting_there"] = self.load.waiting_tokens
            found["memory_taken_there"] = self.load.memory_tokens
            found["tokens_held"] = self.held_tokens
            found["tokens_fetched"] = self.fetched_tokens
            found["tokens_to_read"] = self.missing_tokens
            found["fetch_late_ms"] = round(self.fetch_late_s * 1000)
            found["weights"] = self.instructions.version or 0
            found["fetch_from"] = ",".join(
                filter(None, self.instructions.fetch_from)
            )
        return found


@dataclasses.dataclass(frozen=True)
class NoCapacity:
    """No endpoint has room for the request just now.

    Attributes
    ----------
    least_fill, most_fill
        How full the emptiest engine's memory would be with a usual request
        of its kind, and how full it may be.
    engines, free_slots
        How many were looked at, and their slots that are free.
    outdated
        How many have weights that are too old for any request.
    """

    least_fill: float
    most_fill: float
    engines: int
    free_slots: int
    outdated: int

    def __str__(self) -> str:
        """Return what decided, for the log."""
        fill = f"least-fill={self.least_fill:.2f} of {self.most_fill:.2f}"
        engines = f"engines={self.engines} outdated={self.outdated}"
        return f"{fill} {engines} free-slots={self.free_slots}"


def memory_of(prompt: calls.Prompt) -> int:
    """Return the tokens that an engine's memory has to hold for a prompt."""
    return prompt.input_tokens + prompt.output_tokens


def fill_of(load: load_module.Load, request: Request, tokens: float) -> float:
    """Return how full an engine's memory would be with so much more."""
    engine = request.service.engine
    if engine is None or engine.cache_tokens <= 0:
        return 0.0
    return (load.memory_tokens + tokens) / engine.cache_tokens


def can_fit(request: Request, prompt: calls.Prompt) -> bool:
    """Tell whether an engine could hold a prompt at all."""
    engine = request.service.engine
    if engine is None or engine.cache_tokens <= 0:
        return True
    return prompt.input_tokens <= engine.cache_tokens


def fill_limit(usual_tokens: float) -> float:
    """Return how full an engine may get with a usual prompt of a kind."""
    if usual_tokens <= SMALL_TOKENS:
        return SMALL_FILL
    return LARGE_FILL


def session_of(prompt: calls.Prompt) -> str:
    """Return what prompts of one session have in common."""
    shared = prompt.shared or prompt.parts
    return shared[-1].id if shared else ""


def salt_of(request: Request, version: int) -> str:
    """Return the text under which a request's parts are cached, if any."""
    prompt = request.call.prompt
    if prompt is None:
        return ""
    organisation = request.organisation
    owner = ""
    if organisation is not None and organisation.isolated:
        owner = organisation.name
    return str(salts.Salt(prompt.model, version, owner))
