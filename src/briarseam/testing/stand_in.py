"""What all stand-ins share: the address, the switches and ``/control``."""

from __future__ import annotations

import dataclasses
import ipaddress
import threading
import time
import typing

import msgspec

from briarseam.testing import http_messages
from briarseam.testing import http_server
from briarseam.testing import switches

OUTAGE_RETRY_S = 1


def parse_address(text: str) -> tuple[str, int]:
    """Split ``IP:PORT``; unlike an address to connect to, port 0 is valid.

    Parameters
    ----------
    text
        The address.

    Returns
    -------
    tuple[str, int]
        IP address and port.

    Raises
    ------
    ValueError
        When it has another form or names a host.
    """
    host, _, port = text.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.strip("[]"))
        return str(ip), int(port)
    except ValueError as error:
        raise ValueError(f"expected IP:PORT, got {text!r}") from error


class StandIn(typing.Generic[switches.SwitchesType]):
    """Base of the stand-ins: one HTTP server with switches.

    Parameters
    ----------
    initial
        The switches at the start.
    listen
        ``IP:PORT``; port 0 takes any free one.

    Attributes
    ----------
    changed
        Notified when a switch changes or the stand-in stops; it guards the
        switches.
    stopping
        Set once :meth:`stop` was called.
    """

    def __init__(
        self, initial: switches.SwitchesType, listen: str = "127.0.0.1:0"
    ) -> None:
        self.switches = initial
        self.changed = threading.Condition()
        self.stopping = threading.Event()
        self.server = http_server.Server(parse_address(listen), self.respond)

    @property
    def address(self) -> str:
        """``IP:PORT`` that it listens on, known once started."""
        host, port = self.server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> typing.Self:
        """Bind and serve on threads of its own.

        Returns
        -------
        typing.Self
            The stand-in, listening.
        """
        self.server.prepare()
        serving = threading.Thread(
            target=self.server.serve, name=f"serve {self.address}", daemon=True
        )
        serving.start()
        return self

    def stop(self) -> None:
        """Stop at once, as a killed process would; may be called twice."""
        self.stopping.set()
        self.wake()
        self.server.stop()

    def wake(self) -> None:
        """Wake every call that waits, after a change of switches."""
        with self.changed:
            self.changed.notify_all()

    def __enter__(self) -> typing.Self:
        """Start.

        Returns
        -------
        typing.Self
            The stand-in, listening.
        """
        return self.start()

    def __exit__(self, *raised: object) -> None:
        """Stop.

        Parameters
        ----------
        *raised
            What ended the block.
        """
        self.stop()

    def set(self, **changes: typing.Any) -> switches.SwitchesType:
        """Change switches, as ``POST /control`` does.

        Parameters
        ----------
        **changes
            New values by name.

        Returns
        -------
        switches.SwitchesType
            All switches.

        Raises
        ------
        SwitchError
            When a name is unknown or a value is not valid.
        """
        return self.merge(changes)

    def merge(self, changes: dict[str, typing.Any]) -> switches.SwitchesType:
        """Change switches.

        Parameters
        ----------
        changes
            New values by name.

        Returns
        -------
        switches.SwitchesType
            All switches.

        Raises
        ------
        SwitchError
            When a name is unknown or a value is not valid.
        """
        with self.changed:
            merged = switches.change(self.switches, changes)
            self.switches = merged
        self.wake()
        return merged

    def take(self, name: str) -> bool:
        """Use up one of a counting switch.

        Parameters
        ----------
        name
            The switch.

        Returns
        -------
        bool
            Whether there was one left.
        """
        with self.changed:
            left = getattr(self.switches, name)
            if left <= 0:
                return False
            self.switches = dataclasses.replace(
                self.switches, **{name: left - 1}
            )
            return True

    def respond(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Answer one call under the common switches.

        Parameters
        ----------
        request
            The call.

        Returns
        -------
        http_messages.Response
            The answer.

        Raises
        ------
        http_messages.Dropped
            When a switch says to give none, or the stand-in stops.
        """
        if request.path[:1] == ("control",):
            return self.respond_control(request)
        if self.switches.outage:
            return outage()
        try:
            response = self.answer(request)
        except ValueError as error:
            return http_messages.problem(400, str(error))
        if self.switches.delay_ms:
            self.stopping.wait(self.switches.delay_ms / 1000)
        if self.stopping.is_set():
            # A waiting call ends early when the stand-in stops; a process
            # that dies gives no such answer.
            raise http_messages.Dropped
        if loses_answer(request, response) and self.take("lose_answers"):
            raise http_messages.Dropped
        return response

    def respond_control(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Answer a call under ``/control``, whatever the switches say.

        Parameters
        ----------
        request
            The call.

        Returns
        -------
        http_messages.Response
            The answer.
        """
        match request.method, request.path[1:]:
            case "GET", ():
                return http_messages.json_response(200, self.switches)
            case "POST", ():
                return self.post_control(request)
            case "GET", (name,):
                return self.answer_control(name)
        return http_messages.problem(404, "no such call")

    def post_control(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Change switches from a JSON object.

        Parameters
        ----------
        request
            The call.

        Returns
        -------
        http_messages.Response
            All switches, or 400.
        """
        try:
            changes = msgspec.json.decode(
                request.body, type=dict[str, typing.Any]
            )
            merged = self.merge(changes)
        except ValueError as error:
            return http_messages.problem(400, str(error))
        return http_messages.json_response(200, merged)

    def answer_control(self, name: str) -> http_messages.Response:
        """Answer ``GET /control/{name}``; stand-ins override it.

        Parameters
        ----------
        name
            What is asked for.

        Returns
        -------
        http_messages.Response
            The answer, here 404.
        """
        return http_messages.problem(404, f"no {name!r} here")

    def answer(self, request: http_messages.Request) -> http_messages.Response:
        """Answer one call; each stand-in's own.

        Parameters
        ----------
        request
            The call.

        Returns
        -------
        http_messages.Response
            The answer.

        Raises
        ------
        ValueError
            When the call is malformed; answered with 400.
        """
        raise NotImplementedError


def loses_answer(
    request: http_messages.Request, response: http_messages.Response
) -> bool:
    """Tell whether ``lose_answers`` applies to a call.

    Parameters
    ----------
    request
        The call.
    response
        Its answer.

    Returns
    -------
    bool
        Whether it was mutating and took effect.
    """
    return request.method != "GET" and response.status < 400


def outage() -> http_messages.Response:
    """Return the answer of a stand-in that is down.

    Returns
    -------
    http_messages.Response
        503 with ``Retry-After``.
    """
    return http_messages.problem(503, "outage", OUTAGE_RETRY_S)


def no_such_call(request: http_messages.Request) -> http_messages.Response:
    """Return the answer to a call that a stand-in doesn't know.

    Parameters
    ----------
    request
        The call.

    Returns
    -------
    http_messages.Response
        404 that names the call.
    """
    path = "/".join(request.path)
    return http_messages.problem(
        404, f"no such call: {request.method} /{path}"
    )


def wall_ms() -> int:
    """Return the wall clock.

    Returns
    -------
    int
        Milliseconds since the epoch.
    """
    return time.time_ns() // 1_000_000
