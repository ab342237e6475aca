"""Encodes the system's own answers: addresses, readiness, refusals."""

from __future__ import annotations

import dataclasses
import typing
import urllib.parse

import msgspec

from briarseam import verdict
from briarseam.forwarding import refusing
from briarseam.platform import names

JSON = "application/json"
# Only these reasons concern the request itself; refusals for any other reason
# are answered with NOT_RUN_STATUS.
STATUS_OF_REASON = {
    verdict.Reason.MALFORMED: 400,
    verdict.Reason.UNAUTHENTICATED: 401,
    verdict.Reason.UNKNOWN_SERVICE: 404,
    verdict.Reason.TOO_LARGE: 413,
    verdict.Reason.THROTTLED: 429,
}
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
TIMED_OUT_STATUS = 504


@dataclasses.dataclass(frozen=True)
class LookupQuery:
    """Query for the addresses of instances.

    Attributes
    ----------
    region, zone
        Location of the caller; empty if it is not given.
    """

    region: str
    zone: str


def encode_verdict(request_verdict: verdict.Verdict) -> refusing.Refusal:
    """Return the answer to a request that no endpoint answered."""
    headers = [("Content-Type", JSON)]
    if request_verdict.retry_after_s is not None:
        headers.append(
            (names.RETRY_AFTER, f"{request_verdict.retry_after_s:.3f}")
        )
    body = msgspec.json.encode(
        {
            "ran": verdict.ran_word(request_verdict),
            "reason": request_verdict.reason.value,
            "detail": request_verdict.detail,
        }
    )
    return refusing.Refusal(status_of(request_verdict), tuple(headers), body)


def status_of(request_verdict: verdict.Verdict) -> int:
    """Return the status of a verdict; 503 and 429 mean "not run"."""
    match request_verdict:
        case verdict.NotRun(reason=reason):
            return STATUS_OF_REASON.get(reason, NOT_RUN_STATUS)
        case verdict.MayHaveRun(reason=verdict.Reason.DEADLINE):
            return TIMED_OUT_STATUS
        case _:
            return UNKNOWN_STATUS


def decode_lookup(target: str) -> LookupQuery | None:
    """Return the lookup query; ``None`` if the target is another call."""
    # Split without urllib, which raises for targets that look like an invalid
    # address, such as "//[".
    path, _, query = target.partition("#")[0].partition("?")
    if path != names.RESOLVE_PATH:
        return None
    fields = urllib.parse.parse_qs(query)
    return LookupQuery(
        region=fields.get("region", [""])[0], zone=fields.get("zone", [""])[0]
    )


def encode_addresses(addresses: typing.Sequence[str], ttl_s: float) -> bytes:
    """Return the answer to a lookup query."""
    return msgspec.json.encode({"addresses": list(addresses), "ttlS": ttl_s})


def is_readiness(target: str) -> bool:
    """Return whether the target is the readiness check."""
    return target.partition("?")[0] == names.READY_PATH
