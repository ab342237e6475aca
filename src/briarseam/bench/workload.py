"""Seeded requests: who sends which prompt of which session, and when."""

from __future__ import annotations

import dataclasses
import functools
import heapq
import math
import random
import typing

from briarseam.testing import words

if typing.TYPE_CHECKING:
    from briarseam.bench import experiment

PIECE_TOKENS = 1000


@dataclasses.dataclass(frozen=True)
class Request:
    """One request of the workload.

    Attributes
    ----------
    at_s
        When it is sent, from the start.
    organisation, session
        Whose.
    tokens
        Length of its prompt.
    returning
        Whether the session was there before.
    seen_tokens
        Of the prompt, what the session had sent before.
    """

    at_s: float
    organisation: str
    session: str
    tokens: int
    returning: bool
    seen_tokens: int = 0

    @property
    def new_tokens(self) -> int:
        """Tokens that nobody can have kept, as they were never sent."""
        return self.tokens - self.seen_tokens

    @property
    def unkept_tokens(self) -> int:
        """The same when only whole pieces can be kept."""
        return self.tokens - self.seen_tokens // PIECE_TOKENS * PIECE_TOKENS


@dataclasses.dataclass
class Session:
    """A session and how long its prompt has grown."""

    name: str
    organisation: str
    tokens: int
    seen_tokens: int = 0


class Generator:
    """Makes the requests of one arm.

    Parameters
    ----------
    workload
        What callers ask.
    arm
        Name of the arm; its sessions have names of their own, so that no
        arm finds another's kept blocks.
    """

    def __init__(self, workload: experiment.Workload, arm: str) -> None:
        self.workload = workload
        self.arm = arm
        # Seeded without the arm: all arms send the same at the same times.
        self.random = random.Random(workload.seed)
        names = workload.organisations
        self.weights = [
            1 / (n + 1) ** workload.skew for n in range(len(names))
        ]
        self.primed: list[Request] = []

    def requests(self) -> list[Request]:
        """Return all requests in order of time; fill ``primed``."""
        made: list[Request] = []
        due: list[tuple[float, int, Session]] = []
        for number in range(self.workload.sessions):
            first_at = self.random.uniform(0, self.workload.return_median_s)
            session = self.new_session(number)
            if self.workload.prime:
                self.primed.append(self.request(0.0, session))
            heapq.heappush(due, (first_at, number, session))
        now = 0.0
        number = self.workload.sessions
        while True:
            now += self.random.expovariate(self.workload.rate_per_s)
            if now > self.workload.duration_s:
                made += self.burst()
                return sorted(made, key=lambda one: one.at_s)
            once = self.random.random() < self.workload.once_share
            if once or due[0][0] > now:
                number += 1
                session = self.new_session(number)
                made.append(self.request(now, session))
                continue
            _, tie, session = heapq.heappop(due)
            made.append(self.request(now, session))
            gap_s = self.random.lognormvariate(
                math.log(self.workload.return_median_s),
                self.workload.return_sigma,
            )
            heapq.heappush(due, (now + gap_s, tie, session))

    def burst(self) -> list[Request]:
        """Return the requests of the burst, evenly spaced.

        They have no part in the random numbers, so that arms with and
        without it send the same otherwise.
        """
        workload = self.workload
        count = int(workload.burst_for_s * workload.burst_rate_per_s)
        tokens = int((workload.pieces_min + workload.pieces_max) * 500)
        return [
            Request(
                workload.burst_at_s + number / workload.burst_rate_per_s,
                workload.burst_organisation,
                f"{self.arm}-burst-{number}",
                tokens,
                False,
            )
            for number in range(count)
        ]

    def new_session(self, number: int) -> Session:
        """Return a session that has not sent anything."""
        organisation = self.random.choices(
            self.workload.organisations, self.weights
        )[0]
        pieces = self.random.uniform(
            self.workload.pieces_min, self.workload.pieces_max
        )
        return Session(
            f"{self.arm}-{number}", organisation, int(pieces * PIECE_TOKENS)
        )

    def request(self, at_s: float, session: Session) -> Request:
        """Return a session's next request; its prompt grows after it."""
        made = Request(
            at_s,
            session.organisation,
            session.name,
            session.tokens,
            session.seen_tokens > 0,
            session.seen_tokens,
        )
        session.seen_tokens = session.tokens
        session.tokens += self.workload.growth_tokens
        return made


@functools.lru_cache(maxsize=4096)
def session_text(session: str) -> str:
    """Return a session's whole text; each prompt is the front of it."""
    return words.prompt(PIECE_TOKENS * 40, session)


def prompt_of(request: Request) -> str:
    """Return a request's prompt."""
    text = session_text(request.session).split(" ", request.tokens)
    return " ".join(text[: request.tokens])
