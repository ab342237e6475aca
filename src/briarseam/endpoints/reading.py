"""Reads of JSON documents from endpoints."""

from __future__ import annotations

import typing

import msgspec
import urllib3

HTTP_OK = 200

Body = typing.TypeVar("Body")


def read(
    pool: urllib3.PoolManager,
    url: str,
    body_type: type[Body],
    error_type: type[Exception],
    timeout: float | urllib3.Timeout,
) -> Body:
    """Return the decoded and validated body of a GET request.

    Parameters
    ----------
    pool
        Connection pool without retries.
    url
        URL of the document.
    body_type
        Data class of the body.
    error_type
        Raised if the endpoint gives no valid answer.
    timeout
        Timeout of the call: seconds, or a timeout of the library.
    """
    try:
        response = pool.request("GET", url, timeout=timeout)
        if response.status != HTTP_OK:
            raise error_type(f"answered {response.status}")
        return msgspec.json.decode(response.data, type=body_type)
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise error_type(str(error)) from error
