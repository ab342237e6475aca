"""Counting an entry's requests, so that a planned stop waits for them."""

from __future__ import annotations

import http
import typing

from briarseam import verdict
from briarseam.entry import problems

if typing.TYPE_CHECKING:
    from briarseam import inflight

CLOSE = ("Connection", "close")
RETRY_AFTER_S = 1.0
# The caller's next connection goes to another entry.
LEAVING = verdict.NotRun(
    verdict.Reason.LEAVING,
    "this entry has shut down; others serve",
    RETRY_AFTER_S,
)


class CountingApplication:
    """Counts each request from its headers to the last byte of its answer.

    A planned stop must not cut a request that is reading its body or
    waiting for a grant either, so the count is taken around the whole
    application.  While the process is leaving, each answer asks the caller
    to close its connection: an idle one that is kept open could carry
    the next request just as the process exits.  Once a stop has found
    nothing in flight, requests are refused as not run: the process ends in
    a moment and would take them along.

    Parameters
    ----------
    application
        WSGI application.
    in_flight
        The count.
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
        """Answer one request."""

        def start(
            status: str,
            headers: list[tuple[str, str]],
            *exc_info: typing.Any,
        ) -> typing.Any:
            if self.in_flight.leaving:
                headers = [*headers, CLOSE]
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
    """The body of an answer; the request ends when it is closed."""

    def __init__(
        self, body: typing.Iterable[bytes], in_flight: inflight.InFlight
    ) -> None:
        self.body = body
        self.in_flight = in_flight
        self.open = True

    def __iter__(self) -> typing.Iterator[bytes]:
        """Return the chunks."""
        return iter(self.body)

    def close(self) -> None:
        """Close the body and count the request out, once."""
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
    """Answer that this entry takes nothing more."""
    status = problems.STATUS[LEAVING.reason]
    body = problems.document(LEAVING, status)
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
