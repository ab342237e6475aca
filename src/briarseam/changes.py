"""A condition for which threads and coroutines can wait."""

from __future__ import annotations

import asyncio
import functools
import threading
import typing

from briarseam.wire import event_loop

Sleepers = set["asyncio.Future[None]"]


class Change(threading.Condition):
    """A condition variable that wakes coroutines as well.

    Coroutines that wait take no thread, so hundreds of callers can wait for
    the same change.

    Attributes
    ----------
    sleepers
        The coroutines that wait, by their event loop.
    """

    def __init__(self, lock: threading.Lock | None = None) -> None:
        super().__init__(lock)
        self.sleepers: dict[asyncio.AbstractEventLoop, Sleepers] = {}

    def notify_all(self) -> None:
        """Wake all who wait; call it with the lock held."""
        super().notify_all()
        sleepers, self.sleepers = self.sleepers, {}
        for loop, futures in sleepers.items():
            event_loop.call_soon(loop, functools.partial(wake, futures))

    async def reached(
        self, condition: typing.Callable[[], bool], timeout_s: float
    ) -> None:
        """Return once a condition holds, or after the timeout.

        Parameters
        ----------
        condition
            Called with the lock held; must not wait.
        timeout_s
            Longest wait, in seconds.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while True:
            sleeper = loop.create_future()
            with self:
                if condition():
                    return
                self.sleepers.setdefault(loop, set()).add(sleeper)
            try:
                async with asyncio.timeout_at(deadline_s):
                    await sleeper
            except TimeoutError:
                return
            finally:
                self.forget(loop, sleeper)

    def forget(
        self, loop: asyncio.AbstractEventLoop, sleeper: asyncio.Future[None]
    ) -> None:
        """Drop a coroutine that waits no more."""
        with self:
            futures = self.sleepers.get(loop, set())
            futures.discard(sleeper)
            if not futures:
                self.sleepers.pop(loop, None)


def wake(futures: Sleepers) -> None:
    """Wake coroutines; call it in their loop."""
    for future in futures:
        if not future.done():
            future.set_result(None)
