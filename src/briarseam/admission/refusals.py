"""The refusals of admission, each with its verdict and when to return."""

from __future__ import annotations

from briarseam import verdict

ERROR_RETRY_S = 1.0


def unknown_token() -> verdict.NotRun:
    """Refuse a caller that no organisation knows."""
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
    """Refuse a request that may not repeat and has no key."""
    return verdict.NotRun(
        verdict.Reason.KEY_INVALID,
        "this call may not repeat: send an Idempotency-Key, a UUIDv7",
    )


def no_endpoint(detail: str, retry_after_s: float) -> verdict.NotRun:
    """Refuse what no endpoint can take."""
    return verdict.NotRun(verdict.Reason.NO_ENDPOINT, detail, retry_after_s)


def not_placed() -> verdict.NotRun:
    """Refuse what could not be placed for an error in this agent."""
    return verdict.NotRun(
        verdict.Reason.NO_ENDPOINT,
        "an error kept this instance from choosing an endpoint",
        ERROR_RETRY_S,
    )


def too_late(first_token_s: float, retry_after_s: float) -> verdict.NotRun:
    """Refuse what would miss its deadline."""
    return verdict.NotRun(
        verdict.Reason.DEADLINE,
        f"the first token is expected after {first_token_s:.2f} s",
        retry_after_s,
    )


def overloaded(retry_after_s: float) -> verdict.NotRun:
    """Refuse when as much waits here as may."""
    return verdict.NotRun(
        verdict.Reason.OVERLOADED,
        "too many requests wait or run at this instance",
        retry_after_s,
    )


def throttled(detail: str, retry_after_s: float) -> verdict.NotRun:
    """Refuse what is over its organisation's limits."""
    return verdict.NotRun(verdict.Reason.THROTTLED, detail, retry_after_s)


def retries_spent(retry_after_s: float) -> verdict.NotRun:
    """Refuse a retry that the organisation's budget does not allow."""
    return verdict.NotRun(
        verdict.Reason.ENDPOINT_LOST,
        "the endpoint was lost, and too many requests are being retried",
        retry_after_s,
    )


def leaving() -> verdict.NotRun:
    """Refuse what waits at an agent that stops."""
    return verdict.NotRun(
        verdict.Reason.LEAVING, "this instance stops; use another", 0.0
    )


def unknown_answer() -> verdict.NotRun:
    """Refuse a forged answer id and another's with the same words."""
    return verdict.NotRun(
        verdict.Reason.MALFORMED, "this answer id is not known"
    )


def answer_gone() -> verdict.Ran:
    """Refuse an answer whose endpoint is not there any more."""
    return verdict.Ran(
        verdict.Reason.ANSWER_GONE,
        "the endpoint of this answer is not configured any more",
    )


def version_gone(version: str) -> verdict.Ran:
    """Refuse to continue an answer whose weight version is not served."""
    return verdict.Ran(
        verdict.Reason.VERSION_GONE,
        f"no endpoint serves weight version {version} any more",
    )


def answer_cancelled() -> verdict.Ran:
    """Refuse an answer that was given up as nobody read it."""
    return verdict.Ran(
        verdict.Reason.ANSWER_GONE,
        "the answer was cancelled, as its caller was away for too long",
    )


def for_keyed_request(key: str, given: verdict.Verdict) -> verdict.Verdict:
    """Return a refusal that is true of a key's request.

    A resend under a key is the same request as the first one.  Whoever
    cannot consult the key's records cannot say that it did not run: the
    caller would submit anew under another key, and twice.
    """
    if not key or not isinstance(given, verdict.NotRun):
        return given
    return verdict.MayHaveRun(
        given.reason,
        f"{given.detail}; send the same key again",
        given.retry_after_s,
    )


def condemned(endpoints: str, retry_after_s: float) -> verdict.NotRun:
    """Refuse a prompt with which endpoints died."""
    return verdict.NotRun(
        verdict.Reason.CONDEMNED,
        f"endpoints died while they ran this prompt: {endpoints}",
        retry_after_s,
    )


def suspect_waits(retry_after_s: float) -> verdict.NotRun:
    """Refuse a prompt that may run at one place only, which is not free."""
    return verdict.NotRun(
        verdict.Reason.OVERLOADED,
        "an endpoint died while it ran this prompt, or it runs already;"
        " it has to wait its turn",
        retry_after_s,
    )
