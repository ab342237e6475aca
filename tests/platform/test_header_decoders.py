"""Fuzzed headers and targets are decoded or refused."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from briarseam.discovery import announcements
from briarseam.forwarding import refusing
from briarseam.platform import answers
from briarseam.platform import requests
from tests.platform import damage

ODD_NUMBERS = ["nan", "inf", "-1", "1e400", "1e308", "²", "1_0", " 7 "]
HUGE_NUMBERS = ["9" * 30, "9" * 5000]
numbers = strategies.sampled_from([*ODD_NUMBERS, *HUGE_NUMBERS, "5"]) | (
    strategies.text(max_size=10)
)
# Mostly integers, so that many prompts are decoded completely.
counts = strategies.sampled_from(["5", "7", " 7 ", "-1", "²", *HUGE_NUMBERS])
callers_headers = strategies.fixed_dictionaries(
    {
        "Model": strategies.text(max_size=5),
        "Token-Usage": strategies.builds("{0},{1}".format, counts, counts),
        "Prefix-Hash": strategies.builds("a:5,b:{0}".format, counts),
        "Deadline-Ms": numbers,
    },
    optional={
        "Request-Id": numbers,
        "Authorization": numbers,
        "Last-Event-Id": numbers,
    },
)
endpoints_headers = strategies.fixed_dictionaries(
    {
        "Weight-Versions": numbers,
        "Retry-After": numbers,
        "Server-Limit": numbers,
    }
)


@damage.QUICK
@hypothesis.given(callers_headers)
def test_any_caller_headers_are_decoded_or_refused(headers):
    try:
        call = requests.decode_call("GET", "/x", list(headers.items()))
    except refusing.MalformedCallError:
        return
    assert damage.is_bounded([call.time_left_s, call.prompt])


@damage.QUICK
@hypothesis.given(endpoints_headers)
def test_any_endpoint_headers_are_decoded(headers):
    head = requests.decode_answer(503, list(headers.items()))
    assert damage.is_bounded([head.announced.backoff_s, head.version])


@damage.QUICK
@hypothesis.given(
    strategies.text(max_size=30)
    | strategies.sampled_from(["//[", "http://[", "/briarseam/resolve?[=["])
)
def test_any_target_is_decoded_without_an_error(target):
    answers.decode_lookup(target)
    answers.decode_lookup(f"/briarseam/resolve?{target}")
    answers.is_readiness(target)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (None, announcements.NoRateLimit()),
        ("3.8", announcements.RateLimit(3.8)),
        ("0", announcements.RateLimit(0.0)),
        ("1e9", announcements.RateLimit(1e9)),
        ("-1", announcements.UnreadableRateLimit("-1")),
        ("nan", announcements.UnreadableRateLimit("nan")),
        ("1e99", announcements.UnreadableRateLimit("1e99")),
        ("soon", announcements.UnreadableRateLimit("soon")),
        ("", announcements.UnreadableRateLimit("")),
    ],
)
def test_rate_limit_of_an_endpoint_is_decoded(text, expected):
    headers = [] if text is None else [("Server-Limit", text)]
    head = requests.decode_answer(200, headers)
    assert head.announced.rate_limit == expected


@pytest.mark.parametrize(
    ("status", "text", "expected"),
    [
        (503, None, None),
        (503, "3", 3.0),
        (503, "0.25", 0.25),
        (503, "0", 0.0),
        (429, "3", 3.0),
        (200, "3", None),
        (421, "3", None),
        (503, "-3", None),
        (503, "", None),
        (503, "nan", None),
        (503, "1e99", None),
        (503, "Wed, 21 Oct 2026 07:28:00 GMT", None),
    ],
)
def test_backoff_of_an_endpoint_is_decoded(status, text, expected):
    headers = [] if text is None else [("Retry-After", text)]
    head = requests.decode_answer(status, headers)
    assert head.announced.backoff_s == expected


@pytest.mark.parametrize(
    ("text", "expected"),
    [(None, False), ("1", True), ("0", False), ("", False), ("soon", False)],
)
def test_leaving_of_an_endpoint_is_decoded(text, expected):
    headers = [] if text is None else [("Server-Leaving", text)]
    assert requests.decode_answer(200, headers).announced.leaving is expected


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ([], True),
        ([("Content-Type", "text/event-stream")], True),
        ([("content-type", "Text/Event-Stream; charset=utf-8")], True),
        ([("Content-Type", "application/json")], False),
    ],
)
def test_type_tells_whether_a_body_consists_of_events(headers, expected):
    assert requests.decode_answer(200, headers).event_stream is expected
