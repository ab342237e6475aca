from __future__ import annotations

import dataclasses
import types

import pytest
import urllib3

from briarseam.endpoints import reading

URL = "http://127.0.0.1:1/state"


@dataclasses.dataclass(frozen=True)
class Body:
    count: int


class UnavailableError(Exception):
    pass


def read(status=200, data=b'{"count": 3}', error=None):
    def request(method, url, timeout):
        assert (method, url, timeout) == ("GET", URL, 0.5)
        if error is not None:
            raise error
        return types.SimpleNamespace(status=status, data=data)

    pool = types.SimpleNamespace(request=request)
    return reading.read(pool, URL, Body, UnavailableError, 0.5)


def test_body_is_read():
    assert read() == Body(3)


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param({"status": 503}, id="refused"),
        pytest.param({"data": b'{"count": "many"}'}, id="another type"),
        pytest.param({"data": b'{"count": 3'}, id="truncated"),
        pytest.param({"data": b"\xff\xfe"}, id="not UTF-8"),
        pytest.param(
            {"error": urllib3.exceptions.HTTPError("cut")}, id="no answer"
        ),
    ],
)
def test_invalid_answer_raises_the_given_error(answer):
    with pytest.raises(UnavailableError):
        read(**answer)
