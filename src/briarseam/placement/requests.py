"""Requests to be placed, their placements, and memory limits."""

from __future__ import annotations

import dataclasses
import math
import typing

from briarseam.eligibility import regions
from briarseam.forwarding import calls
from briarseam.placement import loads as load_module

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery
    from briarseam.placement import endpoint_bytes
    from briarseam.prediction import forecast
    from briarseam.routes import model as routes

# An engine whose memory is full preempts runs and prefills their prompts
# again, which slows down all of them.  Routes with small prompts may use the
# reserve that others must leave.
SMALL_TOKENS = 3000
SMALL_MAX_FILL = 1.0
LARGE_MAX_FILL = 0.9


@dataclasses.dataclass(frozen=True)
class Request:
    """A request to be placed.

    Attributes
    ----------
    call, route, service
        The call, its route, and the service that is to answer it.
    organisation
        The caller; ``None`` for an anonymous one.
    target_remaining_s
        Time until the answer, or its first event, is due by the target
        latency, in seconds; negative once it is overdue.
    tried
        Endpoints that it was already sent to.
    partly_answered
        Whether the caller has received part of the answer.
    software
        Software version that must answer; ``None`` for any.
    body_bytes
        Size of its body.
    """

    call: calls.Call
    route: routes.Route
    service: routes.Service
    organisation: routes.Organisation | None
    target_remaining_s: float
    tried: frozenset[str] = frozenset()
    partly_answered: bool = False
    software: str | None = None
    body_bytes: int = 0

    @property
    def regions(self) -> regions.Allowed:
        """Regions that the request must not leave."""
        organisation = self.organisation
        return regions.intersection(
            self.route.regions,
            None if organisation is None else organisation.regions,
        )


@dataclasses.dataclass(frozen=True)
class Placement:
    """The endpoint chosen for a request.

    Attributes
    ----------
    endpoint
        The endpoint.
    instructions
        Instructions that are sent to it with the request.
    prefill_tokens
        Prompt tokens that it is expected to prefill.
    held_tokens, fetched_tokens
        Prompt tokens in its memory, and those that it is to fetch.
    fetch_late_s
        Time after which the fetch counts as late, in seconds.
    load
        Known load of the endpoint when it was chosen.
    endpoints_age_s
        Time since the list of endpoints was read, in seconds.
    prediction
        What was predicted for the endpoint; ``None`` if endpoints were not
        compared by predicted times.
    reservation
        The bytes of the request's body at the endpoint, if they count.
    """

    endpoint: discovery.Endpoint
    instructions: calls.Instructions
    prefill_tokens: int = 0
    held_tokens: int = 0
    fetched_tokens: int = 0
    fetch_late_s: float = 0.0
    load: load_module.Load = load_module.NO_LOAD
    endpoints_age_s: float = 0.0
    prediction: forecast.Prediction | None = None

    def tokens_ahead(self) -> int:
        """Return the tokens to be prefilled there before the first event."""
        return self.load.waiting_tokens + self.prefill_tokens

    reservation: endpoint_bytes.Reservation | None = None

    def sources(self) -> frozenset[str]:
        """Return the stores that are fetched from."""
        return frozenset(filter(None, self.instructions.fetch_from))

    def log_fields(self) -> dict[str, float | str]:
        """Return the grounds for the choice, as log fields."""
        fields: dict[str, float | str] = {
            "requests_there": self.load.requests,
            "endpoints_age_ms": round(self.endpoints_age_s * 1000),
        }
        if self.endpoint.software:
            fields["software"] = self.endpoint.software
        if self.instructions.salt:
            fields["cache_salt"] = self.instructions.salt
            fields["tokens_waiting_there"] = self.load.waiting_tokens
            fields["memory_taken_there"] = self.load.memory_tokens
            fields["tokens_held"] = self.held_tokens
            fields["tokens_fetched"] = self.fetched_tokens
            fields["tokens_to_read"] = self.prefill_tokens
            fields["fetch_late_ms"] = round(self.fetch_late_s * 1000)
            fields["weights"] = self.instructions.version or 0
            if math.isfinite(self.instructions.fetch_until_ms):
                fields["fetch_until_ms"] = round(
                    self.instructions.fetch_until_ms
                )
            fields["fetch_from"] = ",".join(
                filter(None, self.instructions.fetch_from)
            )
        if self.prediction is not None:
            fields |= self.prediction.log_fields()
        return fields


@dataclasses.dataclass(frozen=True)
class NoCapacity:
    """No engine currently has capacity for a prompt.

    Attributes
    ----------
    min_fill, max_fill
        Lowest share of an engine's memory in use, with a typical prompt of
        the route, and the share that may be in use.
    engines, free_slots
        Number of compared engines, and of their free slots.
    outdated
        Number of engines with weights too old for any request.
    soonest
        Id of the engine that has room first: of those with weights that may
        be used, the one with the lowest share; empty if there is none.
    """

    min_fill: float
    max_fill: float
    engines: int
    free_slots: int
    outdated: int
    soonest: str = ""

    def __str__(self) -> str:
        """Return the grounds for the refusal, for the log."""
        fill = f"least-fill={self.min_fill:.2f} of {self.max_fill:.2f}"
        engines = f"engines={self.engines} outdated={self.outdated}"
        return f"{fill} {engines} free-slots={self.free_slots}"


@dataclasses.dataclass(frozen=True)
class QueueFull:
    """A request without a prompt would be answered late everywhere.

    Attributes
    ----------
    expected_s, target_s
        Estimated time to the answer at the least loaded endpoint, and the
        route's target, in seconds.
    """

    expected_s: float
    target_s: float

    def __str__(self) -> str:
        """Return the grounds for the refusal, for the log."""
        expected_ms = round(self.expected_s * 1000)
        return f"answer-in={expected_ms}ms of {round(self.target_s * 1000)}ms"


@dataclasses.dataclass(frozen=True)
class AtLimit:
    """Only endpoints with limits are left, and these are used up.

    Attributes
    ----------
    endpoints
        Number of endpoints that had room just before; 0 if this instance
        had sent to all of them what it may.
    """

    endpoints: int

    def __str__(self) -> str:
        """Return the grounds for the refusal, for the log."""
        return f"at-limit endpoints={self.endpoints}"


@dataclasses.dataclass(frozen=True)
class BodiesAtLimit:
    """All endpoints hold as many bytes of bodies as this instance may send.

    Attributes
    ----------
    endpoints
        Number of these endpoints.
    body_bytes, share_bytes
        Size of the request's body, and what this instance may have in
        flight to one endpoint.
    """

    endpoints: int
    body_bytes: int
    share_bytes: int

    def __str__(self) -> str:
        """Return the grounds for the refusal, for the log."""
        size = f"body={self.body_bytes} share={self.share_bytes}"
        return f"bodies-at-limit endpoints={self.endpoints} {size}"


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """No endpoint that may get a request can be reached from this instance.

    Attributes
    ----------
    endpoints
        Number of these endpoints.
    """

    endpoints: int

    def __str__(self) -> str:
        """Return the grounds, for the log."""
        return f"unreachable endpoints={self.endpoints}"


Unplaced = NoCapacity | QueueFull | AtLimit | BodiesAtLimit


def memory_of(prompt: calls.Prompt) -> int:
    """Return the tokens that a prompt takes of an engine's memory."""
    return prompt.input_tokens + prompt.output_tokens


def fill_of(load: load_module.Load, request: Request, tokens: float) -> float:
    """Return the share of an engine's memory in use after adding tokens."""
    engine = request.service.engine
    if engine is None or engine.cache_tokens <= 0:
        return 0.0
    return (load.memory_tokens + tokens) / engine.cache_tokens


def can_fit(request: Request, prompt: calls.Prompt) -> bool:
    """Return whether a prompt fits into an engine's whole memory."""
    engine = request.service.engine
    if engine is None or engine.cache_tokens <= 0:
        return True
    return prompt.input_tokens <= engine.cache_tokens


def fill_limit(typical_tokens: float) -> float:
    """Return the share of an engine's memory that may be in use."""
    if typical_tokens <= SMALL_TOKENS:
        return SMALL_MAX_FILL
    return LARGE_MAX_FILL


def session_of(prompt: calls.Prompt) -> str:
    """Return the id of the session that a prompt belongs to."""
    shared = prompt.shared or prompt.parts
    return shared[-1].id if shared else ""


def prompt_of(request: Request) -> calls.Prompt:
    """Return the prompt of a request that has one.

    Raises
    ------
    ValueError
        If it has none.
    """
    prompt = request.call.prompt
    if prompt is None:
        raise ValueError(f"request {request.call.id} has no prompt")
    return prompt


def instructions_for(
    request: Request,
    endpoint: discovery.Endpoint,
    version: int = 0,
    salt: str = "",
) -> calls.Instructions:
    """Return the instructions that an endpoint gets with a request.

    Parameters
    ----------
    request, endpoint
        The request, and the endpoint that is to answer it.
    version
        Weight version that it must run on; 0 for any.
    salt
        Salt of the cached parts of its prompt; empty without a prompt.
    """
    organisation = request.organisation
    priority = request.route.priority
    if organisation is not None and organisation.priority is not None:
        priority = organisation.priority
    return calls.Instructions(
        endpoint=endpoint.id,
        organisation=organisation.name if organisation else "",
        priority=min(priority, 9),
        salt=salt,
        version=version or None,
        last_event_id=request.call.last_event_id,
    )
