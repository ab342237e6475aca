"""The refusals of admission, with verdict, detail and retry time."""

from __future__ import annotations

from briarseam import verdict

ERROR_RETRY_S = 1.0


def unknown_token() -> verdict.NotRun:
    """Refuse a token that belongs to no organisation."""
    return verdict.NotRun(
        verdict.Reason.UNAUTHENTICATED, "no organisation has this token"
    )


def unknown_model(model: str) -> verdict.NotRun:
    """Refuse a model that is not configured."""
    return verdict.NotRun(
        verdict.Reason.UNKNOWN_MODEL, f"there is no model {model}"
    )


def unknown_service(service: str) -> verdict.NotRun:
    """Refuse a service that is not configured."""
    return verdict.NotRun(
        verdict.Reason.UNKNOWN_SERVICE, f"there is no service {service}"
    )


def key_needed() -> verdict.NotRun:
    """Refuse a non-idempotent request without an idempotency key."""
    return verdict.NotRun(
        verdict.Reason.KEY_INVALID,
        "this call may not repeat: send an Idempotency-Key, a UUIDv7",
    )


def no_endpoint(detail: str, retry_after_s: float) -> verdict.NotRun:
    """Refuse a request that no endpoint can take."""
    return verdict.NotRun(verdict.Reason.NO_ENDPOINT, detail, retry_after_s)


def not_placed() -> verdict.NotRun:
    """Refuse a request whose placement failed with an internal error."""
    return verdict.NotRun(
        verdict.Reason.NO_ENDPOINT,
        "an error kept this instance from choosing an endpoint",
        ERROR_RETRY_S,
    )


def too_late(first_token_s: float, retry_after_s: float) -> verdict.NotRun:
    """Refuse a prompt that would miss its deadline."""
    return verdict.NotRun(
        verdict.Reason.DEADLINE,
        f"the first token is expected after {first_token_s:.2f} s",
        retry_after_s,
    )


def overloaded(retry_after_s: float) -> verdict.NotRun:
    """Refuse a request because this instance is at its limit."""
    return verdict.NotRun(
        verdict.Reason.OVERLOADED,
        "too many requests wait or run at this instance",
        retry_after_s,
    )


def throttled(detail: str, retry_after_s: float) -> verdict.NotRun:
    """Refuse a request that exceeds its organisation's limits."""
    return verdict.NotRun(verdict.Reason.THROTTLED, detail, retry_after_s)


def retries_spent(retry_after_s: float) -> verdict.NotRun:
    """Refuse a retry because the organisation's retry budget is spent."""
    return verdict.NotRun(
        verdict.Reason.ENDPOINT_LOST,
        "the endpoint was lost, and too many requests are being retried",
        retry_after_s,
    )


def leaving() -> verdict.NotRun:
    """Refuse a queued request because the agent is stopping."""
    return verdict.NotRun(
        verdict.Reason.LEAVING, "this instance stops; use another", 0.0
    )


def unknown_answer() -> verdict.NotRun:
    """Refuse an answer id that is forged or of another organisation.

    Both get the same detail, so that it does not reveal which ids exist.
    """
    return verdict.NotRun(
        verdict.Reason.MALFORMED, "this answer id is not known"
    )


def answer_gone() -> verdict.Ran:
    """Refuse an answer whose endpoint was removed."""
    return verdict.Ran(
        verdict.Reason.ANSWER_GONE,
        "the endpoint of this answer is not configured any more",
    )


def version_gone(version: str) -> verdict.Ran:
    """Refuse a continuation whose weight version is no longer served."""
    return verdict.Ran(
        verdict.Reason.VERSION_GONE,
        f"no endpoint serves weight version {version} any more",
    )


def answer_cancelled() -> verdict.Ran:
    """Refuse an answer that was cancelled because no caller read it."""
    return verdict.Ran(
        verdict.Reason.ANSWER_GONE,
        "the answer was cancelled, as its caller was away for too long",
    )


def for_keyed_request(key: str, given: verdict.Verdict) -> verdict.Verdict:
    """Return a refusal with "may have run" for a request with a key.

    An earlier try under the same key may have run, and without the key's
    records that is unknown.  A caller that is told "not run" would submit
    the request again under another key, and it would run twice.
    """
    if not key or not isinstance(given, verdict.NotRun):
        return given
    return verdict.MayHaveRun(
        given.reason,
        f"{given.detail}; send the same key again",
        given.retry_after_s,
    )


def condemned(endpoints: str, retry_after_s: float) -> verdict.NotRun:
    """Refuse a prompt that is condemned because endpoints died with it."""
    return verdict.NotRun(
        verdict.Reason.CONDEMNED,
        f"endpoints died while they ran this prompt: {endpoints}",
        retry_after_s,
    )


def suspect_waits(retry_after_s: float) -> verdict.NotRun:
    """Refuse a suspect prompt, which runs at one endpoint at a time."""
    return verdict.NotRun(
        verdict.Reason.OVERLOADED,
        "an endpoint died while it ran this prompt, or it runs already;"
        " it has to wait its turn",
        retry_after_s,
    )
