"""Stand-in for a plain service beside the model engines."""

from __future__ import annotations

import collections
import dataclasses
import threading
import typing

import msgspec

from briarseam.testing import http_messages
from briarseam.testing import stand_in
from briarseam.testing import switches


@dataclasses.dataclass(frozen=True)
class Switches(switches.Switches):
    """Switches of a plain service.

    Attributes
    ----------
    service_s
        Seconds of work before a call takes effect.
    close_before
        So many of the next connections close before the call's effect.
    close_after
        So many of the next connections close after the call's effect.
    status
        Status to answer instead, with no effect; 0 for none.
    """

    service_s: switches.Amount = 0
    close_before: switches.Count = 0
    close_after: switches.Count = 0
    status: typing.Annotated[int, msgspec.Meta(ge=0, le=599)] = 0


@dataclasses.dataclass(frozen=True)
class Keyed:
    """The part of a body that names what is done at most once."""

    key: str | None = None


@dataclasses.dataclass(frozen=True)
class Confirmation:
    """Answer to a call that took effect."""

    call: str
    confirmation: str
    body: msgspec.Raw


@dataclasses.dataclass(frozen=True)
class Runs:
    """How often each key or run took effect."""

    runs: dict[str, int]


class PlainService(stand_in.StandIn[Switches]):
    """A plain service that counts the effect of its calls.

    Parameters
    ----------
    switches
        The switches at the start.
    listen
        ``IP:PORT``; port 0 takes any free one.
    """

    def __init__(
        self, switches: Switches | None = None, listen: str = "127.0.0.1:0"
    ) -> None:
        super().__init__(switches or Switches(), listen)
        self.lock = threading.Lock()
        self.runs: collections.Counter[str] = collections.Counter()
        self.confirmed = 0

    def answer_control(self, name: str) -> http_messages.Response:
        """Answer ``GET /control/runs``.

        Parameters
        ----------
        name
            What is asked for.

        Returns
        -------
        http_messages.Response
            The counts, or 404.
        """
        if name != "runs":
            return super().answer_control(name)
        with self.lock:
            return http_messages.json_response(200, Runs(dict(self.runs)))

    def answer(self, request: http_messages.Request) -> http_messages.Response:
        """Answer one call.

        Parameters
        ----------
        request
            The call.

        Returns
        -------
        http_messages.Response
            The answer.
        """
        match request.method, request.path:
            case "POST", ("calls", call):
                return self.call(call, request)
        return stand_in.no_such_call(request)

    def call(
        self, call: str, request: http_messages.Request
    ) -> http_messages.Response:
        """Do one call.

        Parameters
        ----------
        call
            Its name.
        request
            Its run id and body.

        Returns
        -------
        http_messages.Response
            The confirmation.

        Raises
        ------
        http_messages.Dropped
            When a switch says to close the connection.
        """
        if self.take("close_before"):
            raise http_messages.Dropped
        if self.switches.status:
            return http_messages.problem(self.switches.status, "by switch")
        body = msgspec.json.decode(request.body, type=msgspec.Raw)
        key = key_of(request)
        if self.stopping.wait(self.switches.service_s):
            raise http_messages.Dropped
        number = self.take_effect(key)
        if self.take("close_after"):
            raise http_messages.Dropped
        answer = Confirmation(call, f"{call}-{number}", body)
        return http_messages.json_response(200, answer)

    def take_effect(self, key: str) -> int:
        """Count one effect.

        Parameters
        ----------
        key
            Whose effect it is.

        Returns
        -------
        int
            The number of effects so far.
        """
        with self.lock:
            self.runs[key] += 1
            self.confirmed += 1
            return self.confirmed


def key_of(request: http_messages.Request) -> str:
    """Name what a call's effect is counted under.

    Parameters
    ----------
    request
        The call.

    Returns
    -------
    str
        The body's ``key``, else the run id.

    Raises
    ------
    ValueError
        When the call has neither.
    """
    run_id = request.headers.get("x-run-id", "")
    try:
        keyed = msgspec.json.decode(request.body, type=Keyed)
    except msgspec.ValidationError:
        keyed = Keyed()
    key = keyed.key or run_id
    if not key:
        raise ValueError("neither X-Run-Id nor a key in the body")
    return key
