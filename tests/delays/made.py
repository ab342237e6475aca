"""Builders of log lines as instances write them."""

from __future__ import annotations

import json

PROMPT = {
    "tokens_waiting_there": 0,
    "memory_taken_there": 0,
    "tokens_held": 0,
    "tokens_fetched": 0,
    "tokens_to_read": 900,
    "fetch_late_ms": 0,
    "weights": 1,
    "fetch_from": "",
}


def line(at_s: float, event: str, request: str, **fields) -> str:
    """Return a log line; `at_s` is less than 60."""
    common = {
        "request": request,
        "event": event,
        "level": "info",
        "timestamp": f"2026-01-01T00:00:{at_s:09.6f}Z",
        "process": "a",
    }
    return json.dumps(common | fields)


def sent(at_s: float, request: str, endpoint: str = "e1", **fields) -> str:
    """Return the line of a send of a request without a prompt."""
    defaults = {
        "time_left_ms": 5000,
        "requests_there": 0,
        "endpoints_age_ms": 9,
    }
    return line(
        at_s, "request_sent", request, endpoint=endpoint, **(defaults | fields)
    )


def sent_prompt(at_s: float, request: str, **fields) -> str:
    """Return the line of a send of a request with a prompt."""
    return sent(at_s, request, **(PROMPT | fields))


def ended(at_s: float, request: str, *steps: str, **fields) -> str:
    """Return the line of a request that ended."""
    defaults = {
        "route": "ask",
        "service": "s",
        "configuration": 1,
        "steps": steps,
        "outcome": "answered-200",
        "took_ms": 1,
    }
    return line(at_s, "request_ended", request, **(defaults | fields))


def refused(at_s: float, request: str, reason: str, **fields) -> str:
    """Return the line of a request that was refused before it had a route."""
    defaults = {"host_path": "/x", "reason": reason, "ran": "no", "detail": ""}
    return line(at_s, "request_refused", request, **(defaults | fields))
