"""Waiting for a condition instead of for a time."""

from __future__ import annotations

import time
import typing

if typing.TYPE_CHECKING:
    import collections.abc

POLL_INTERVAL_S = 0.01

Result = typing.TypeVar("Result")


def until(
    condition: collections.abc.Callable[[], Result],
    timeout_s: float = 10,
    what: str = "the condition",
) -> Result:
    """Return the first true result of a condition.

    Parameters
    ----------
    condition
        Called again and again; its exceptions are not caught.
    timeout_s
        Time after which to give up; it is called once at least.
    what
        What is waited for, for the error.

    Raises
    ------
    TimeoutError
        If the condition did not become true in time; tells ``what`` and
        the last result.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        result = condition()
        if result:
            return result
        if time.monotonic() >= deadline_s:
            raise TimeoutError(
                f"waited {timeout_s:g} s for {what}; last result {result!r}"
            )
        time.sleep(POLL_INTERVAL_S)
