"""Counts the requests in flight, so that a planned stop waits for them."""

from __future__ import annotations

import http
import typing

from briarseam import verdict
from briarseam.entry import problems

if typing.TYPE_CHECKING:
    from briarseam import inflight

CLOSE_HEADER = ("Connection", "close")
RETRY_AFTER_S = 1.0
# The caller retries at another entry, on a new connection.
LEAVING = verdict.NotRun(
    verdict.Reason.LEAVING,
    "this entry has shut down; send the request to another entry",
    RETRY_AFTER_S,
)


class CountingApplication:
    """WSGI middleware that counts the requests in flight.

    A request counts from its headers to the last byte of its answer, so
    that a planned stop also waits for requests whose body is being read or
    that wait for a grant.  While the process is leaving, each answer has
    ``Connection: close``: on a connection that is kept open the next
    request could arrive just as the process exits.  Once a stop has found
    no request in flight, new ones are refused as not run, since the process
    exits before they could be answered.

    Parameters
    ----------
    application
        The wrapped WSGI application.
    in_flight
        The counter of requests in flight.
    """

    def __init__(
        self,
        application: typing.Callable[..., typing.Iterable[bytes]],
        in_flight: inflight.InFlight,
    ) -> None:
        self.application = application
        self.in_flight = in_flight

    def __call__(
        self,
        environ: dict[str, typing.Any],
        start_response: typing.Callable[..., typing.Any],
    ) -> CountedBody:
        """Handle one request."""

        def start(
            status: str,
            headers: list[tuple[str, str]],
            *exc_info: typing.Any,
        ) -> typing.Any:
            if self.in_flight.leaving:
                headers = [*headers, CLOSE_HEADER]
            return start_response(status, headers, *exc_info)

        self.in_flight.enter()
        try:
            if self.in_flight.refusing:
                body = refuse(start)
            else:
                body = self.application(environ, start)
        except BaseException:
            self.in_flight.leave()
            raise
        return CountedBody(body, self.in_flight)


class CountedBody:
    """A response body; its request is in flight until it is closed."""

    def __init__(
        self, body: typing.Iterable[bytes], in_flight: inflight.InFlight
    ) -> None:
        self.body = body
        self.in_flight = in_flight
        self.open = True

    def __iter__(self) -> typing.Iterator[bytes]:
        """Return an iterator over the chunks."""
        return iter(self.body)

    def close(self) -> None:
        """Close the body and stop counting the request; idempotent."""
        if not self.open:
            return
        self.open = False
        try:
            close = getattr(self.body, "close", None)
            if close is not None:
                close()
        finally:
            self.in_flight.leave()


def refuse(
    start_response: typing.Callable[..., typing.Any],
) -> typing.Iterable[bytes]:
    """Respond that this entry accepts no more requests."""
    status = problems.STATUS[LEAVING.reason]
    body = problems.encode_document(LEAVING, status)
    phrase = http.HTTPStatus(status).phrase
    start_response(
        f"{status} {phrase}",
        [
            ("Content-Type", problems.MEDIA_TYPE),
            ("Content-Length", str(len(body))),
            ("Retry-After", problems.retry_after_text(RETRY_AFTER_S)),
        ],
    )
    return [body]
