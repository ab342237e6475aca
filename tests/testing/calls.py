"""Calls to stand-ins, and the events of a stream."""

from __future__ import annotations

import json

import urllib3


def call(method, address, path, body=None, **headers):
    """Make one call; a body that is no bytes goes as JSON."""
    if body is not None and not isinstance(body, bytes):
        body = json.dumps(body)
    names = {name.replace("_", "-"): headers[name] for name in headers}
    return urllib3.request(
        method,
        f"http://{address}{path}",
        body=body,
        headers=names,
        retries=False,
        timeout=10,
    )


def control(address, **switches):
    answer = call("POST", address, "/control", switches)
    assert answer.status == 200, answer.data
    return answer.json()


def open_stream(address, path, body=None):
    return urllib3.request(
        "GET" if body is None else "POST",
        f"http://{address}{path}",
        body=None if body is None else json.dumps(body),
        preload_content=False,
        retries=False,
        timeout=10,
    )


def run_body(run_id, prompt="a b c", max_tokens=5, **more):
    return {
        "run_id": run_id,
        "model": "m",
        "prompt": prompt,
        "max_tokens": max_tokens,
        **more,
    }


def events(answer):
    """Read a stream's events as (name, data), as they come."""
    rest = b""
    for piece in answer.stream():
        rest += piece
        *whole, rest = rest.split(b"\n\n")
        for event in whole:
            fields = dict(
                line.split(": ", 1) for line in event.decode().split("\n")
            )
            data = json.loads(fields["data"])
            if "id" in fields:
                assert int(fields["id"]) == data["offset"]
            yield fields["event"], data


def tokens(received):
    """Return the offsets and tokens of some events."""
    found = [data for name, data in received if name == "token"]
    return [each["offset"] for each in found], [
        each["token"] for each in found
    ]
