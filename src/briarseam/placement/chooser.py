"""Choosing an endpoint for a request."""

from __future__ import annotations

import dataclasses
import random
import typing

from briarseam import clocks
from briarseam import verdict
from briarseam.forwarding import calls
from briarseam.lookup import rank
from briarseam.placement import loads as load_module
from briarseam.placement import residency as residencies
from briarseam.routes import model as routes

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery

# An endpoint that could not be reached, or broke off, is left alone for
# this long if there are others: about as long as a restart takes.
AVOID_S = 1.0
# Reading a prompt while a stream runs takes about as much longer as reading
# this many tokens more: one step with a slot more takes 0.1 ms of the 9 ms
# that a piece of 1,024 tokens takes, over the ten steps that a prompt needs.
TOKENS_PER_STREAM = 100
# A prompt that no endpoint holds goes to the endpoint that ranks first for
# its session unless that has this much more to read than another.
HOME_BONUS_TOKENS = 6000
RETRY_AFTER_S = 0.5


@dataclasses.dataclass(frozen=True)
class Request:
    """What is to be placed.

    Attributes
    ----------
    call, route, service
        What is asked, and of which service.
    organisation
        Who asks; ``None`` for anyone.
    tried
        Endpoints that it was sent to already.
    """

    call: calls.Call
    route: routes.Route
    service: routes.Service
    organisation: routes.Organisation | None
    tried: frozenset[str] = frozenset()


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
    """

    endpoint: discovery.Endpoint
    instructions: calls.Instructions
    missing_tokens: int = 0


class Chooser:
    """Chooses endpoints; thread-safe.

    Parameters
    ----------
    endpoints
        Returns the endpoints of a service that take new work.
    zone
        This instance's availability zone.
    """

    def __init__(
        self,
        endpoints: typing.Callable[[str], list[discovery.Endpoint]],
        zone: str,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.endpoints = endpoints
        self.zone = zone
        self.clock = clock
        self.loads = load_module.Loads()
        self.residency = residencies.Residency()
        self.avoided: dict[str, float] = {}

    def choose(self, request: Request) -> Placement | verdict.NotRun:
        """Return where a request goes, or why nowhere."""
        candidates = [
            endpoint
            for endpoint in self.endpoints(request.service.name)
            if endpoint.id not in request.tried
        ]
        if not candidates:
            return verdict.NotRun(
                verdict.Reason.NO_ENDPOINT,
                "no endpoint of the service takes work",
                RETRY_AFTER_S,
            )
        now_s = self.clock()
        good = [
            endpoint
            for endpoint in candidates
            if self.avoided.get(endpoint.id, 0.0) <= now_s
        ]
        if request.call.prompt is None:
            return self.place_plain(request, good or candidates)
        return self.place_prompt(
            request, request.call.prompt, good or candidates
        )

    def place_plain(
        self, request: Request, candidates: list[discovery.Endpoint]
    ) -> Placement:
        """Place a request on the endpoint with the fewest per slot."""
        best = min(
            candidates,
            key=lambda endpoint: (
                self.loads.of(endpoint.id).requests / endpoint.slots,
                random.random(),
            ),
        )
        return Placement(best, self.instruct(request, best))

    def place_prompt(
        self,
        request: Request,
        prompt: calls.Prompt,
        candidates: list[discovery.Endpoint],
    ) -> Placement:
        """Place a prompt where it will be read soonest."""
        salt = salt_of(request, "")
        parts = [(part.id, part.tokens) for part in prompt.parts]
        key = session_of(prompt)
        home = rank.ranked(key, candidates, lambda endpoint: endpoint.id)[0]
        best: Placement | None = None
        best_cost = 0.0
        for endpoint in candidates:
            load = self.loads.of(endpoint.id)
            held = self.residency.known(endpoint.id, salt, parts)
            missing = max(prompt.input_tokens - held, 0)
            cost = load.waiting_tokens + missing
            cost += load.running * TOKENS_PER_STREAM
            if endpoint.id == home.id:
                cost -= HOME_BONUS_TOKENS
            if best is None or cost < best_cost:
                best_cost = cost
                best = Placement(
                    endpoint, self.instruct(request, endpoint), missing
                )
        assert best is not None
        return best

    def instruct(
        self, request: Request, endpoint: discovery.Endpoint
    ) -> calls.Instructions:
        """Return what to tell an endpoint about a request."""
        organisation = request.organisation
        priority = request.route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        return calls.Instructions(
            endpoint=endpoint.id,
            organisation=organisation.name if organisation else "",
            priority=min(priority, 9),
            salt=salt_of(request, "") if request.call.prompt else "",
            last_event_id=request.call.last_event_id,
        )

    def started(self, placement: Placement) -> None:
        """Count a request that is about to be sent."""
        self.loads.change(
            placement.endpoint.id,
            requests=1,
            waiting_tokens=placement.missing_tokens,
        )

    def first_event(self, placement: Placement, request: Request) -> None:
        """Note that an endpoint has read a prompt."""
        self.loads.change(
            placement.endpoint.id,
            waiting_tokens=-placement.missing_tokens,
            running=1,
        )
        prompt = request.call.prompt
        if prompt is None or request.service.engine is None:
            return
        self.residency.note(
            placement.endpoint.id,
            placement.instructions.salt,
            [(part.id, part.tokens) for part in prompt.parts],
            request.service.engine.cache_tokens,
        )

    def ended(self, placement: Placement, began: bool) -> None:
        """Count a request that is no longer at its endpoint.

        Parameters
        ----------
        placement
            Where it was.
        began
            Whether its first event had come.
        """
        self.loads.change(
            placement.endpoint.id,
            requests=-1,
            waiting_tokens=0 if began else -placement.missing_tokens,
            running=-1 if began else 0,
        )

    def avoid(self, endpoint: str) -> None:
        """Leave an endpoint alone for a while."""
        self.avoided[endpoint] = self.clock() + AVOID_S


def session_of(prompt: calls.Prompt) -> str:
    """Return what prompts of one session have in common."""
    shared = prompt.shared or prompt.parts
    return shared[-1].id if shared else ""


def salt_of(request: Request, version: str) -> str:
    """Return the text under which a request's parts are cached.

    Parts of an isolated organisation must not be found by another one, and
    parts that were made by other weights must not be found at all.
    """
    organisation = request.organisation
    owner = ""
    if organisation is not None and organisation.isolated:
        owner = organisation.name
    model = request.call.prompt.model if request.call.prompt else ""
    return f"{model}/{version}/{owner}"
