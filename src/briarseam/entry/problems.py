"""Encodes refusals and their verdicts as ``application/problem+json``."""

from __future__ import annotations

import http
import json
import math
import typing

import cherrypy

from briarseam import verdict

MEDIA_TYPE = "application/problem+json"

STATUS: dict[verdict.Reason, int] = {
    verdict.Reason.MALFORMED: 400,
    verdict.Reason.UNAUTHENTICATED: 401,
    verdict.Reason.TOO_LARGE: 413,
    verdict.Reason.UNKNOWN_MODEL: 404,
    verdict.Reason.UNKNOWN_SERVICE: 404,
    verdict.Reason.KEY_INVALID: 400,
    verdict.Reason.KEY_EXPIRED: 422,
    verdict.Reason.KEY_REUSED: 422,
    verdict.Reason.IN_PROGRESS: 409,
    verdict.Reason.THROTTLED: 429,
    verdict.Reason.DEADLINE: 503,
    verdict.Reason.NO_ENDPOINT: 503,
    verdict.Reason.NOT_CURRENT: 503,
    verdict.Reason.LOG_UNAVAILABLE: 503,
    verdict.Reason.AGENT_UNAVAILABLE: 503,
    verdict.Reason.OVERLOADED: 503,
    verdict.Reason.CONDEMNED: 503,
    verdict.Reason.ENDPOINT_LOST: 502,
    verdict.Reason.ENDPOINT_REFUSED: 502,
    verdict.Reason.OUTCOME_UNKNOWN: 504,
    verdict.Reason.VERSION_GONE: 410,
    verdict.Reason.ANSWER_GONE: 410,
    verdict.Reason.LEAVING: 503,
}


class Problem(cherrypy.HTTPError):  # type: ignore[misc]
    """An HTTP error whose response is a problem document.

    Parameters
    ----------
    given
        The verdict returned to the caller.
    status
        HTTP status; by default the status of the verdict's reason.
    """

    def __init__(
        self, given: verdict.Verdict, status: int | None = None
    ) -> None:
        self.given = given
        self.http_status = status or STATUS[given.reason]
        super().__init__(self.http_status, given.detail)

    def set_response(self) -> None:
        """Set the current response to the problem document."""
        response = cherrypy.serving.response
        response.status = self.http_status
        response.stream = False
        response.headers.pop("Content-Length", None)
        response.headers["Content-Type"] = MEDIA_TYPE
        retry_after_s = self.given.retry_after_s
        if retry_after_s is not None:
            response.headers["Retry-After"] = retry_after_text(retry_after_s)
        if self.http_status == http.HTTPStatus.UNAUTHORIZED:
            response.headers["WWW-Authenticate"] = "Bearer"
        response.body = encode_document(self.given, self.http_status)


def retry_after_text(seconds: float) -> str:
    """Return the value of Retry-After: whole seconds, at least one."""
    return str(max(1, math.ceil(seconds)))


def encode_document(given: verdict.Verdict, status: int) -> bytes:
    """Return a problem document as JSON."""
    body: dict[str, typing.Any] = {
        "type": f"urn:briarseam:{given.reason.value}",
        "title": http.HTTPStatus(status).phrase,
        "status": status,
        "detail": given.detail,
        "reason": given.reason.value,
        "ran": verdict.ran_word(given),
    }
    if given.retry_after_s is not None:
        body["retry_after_s"] = round(given.retry_after_s, 3)
    return json.dumps(body).encode()


def malformed(detail: str) -> Problem:
    """Return the problem for a malformed request."""
    return Problem(verdict.NotRun(verdict.Reason.MALFORMED, detail))


def render_default(
    status: str, message: str, traceback: str, version: str
) -> bytes:
    """Return CherryPy's own errors as problem documents.

    Errors such as an unknown path or method occur before a request is
    admitted, so it has not run.  An internal error (500) can occur at any
    time, so the request may have run.
    """
    code = int(status.split()[0])
    response = cherrypy.serving.response
    response.headers["Content-Type"] = MEDIA_TYPE
    given: verdict.Verdict = verdict.NotRun(verdict.Reason.MALFORMED, message)
    if code >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
        given = verdict.MayHaveRun(
            verdict.Reason.OUTCOME_UNKNOWN, "internal error"
        )
    return encode_document(given, code)
