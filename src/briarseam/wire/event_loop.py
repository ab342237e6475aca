"""Event loop that runs in a thread of its own."""

from __future__ import annotations

import asyncio
import concurrent.futures
import threading
import typing

import structlog

STOP_WAIT_S = 2.0
Result = typing.TypeVar("Result")
log = structlog.get_logger("briarseam.wire")


class EventLoop:
    """Runs coroutines in an event loop in a thread of its own.

    Parameters
    ----------
    name
        Name of the thread.
    """

    def __init__(self, name: str) -> None:
        self.loop = asyncio.new_event_loop()
        self.loop.set_exception_handler(log_loop_error)
        self.thread = threading.Thread(target=self.run, name=name, daemon=True)
        self.lock = threading.Lock()
        self.started = False

    def start(self) -> None:
        """Start the thread unless it was started before."""
        with self.lock:
            if not self.started:
                self.thread.start()
                self.started = True

    def run(self) -> None:
        """Run the event loop until it is stopped."""
        asyncio.set_event_loop(self.loop)
        try:
            self.loop.run_forever()
            self.loop.run_until_complete(cancel_all_tasks())
        finally:
            self.loop.close()

    def stop(self) -> None:
        """Cancel all tasks and stop the thread."""
        with self.lock:
            if not self.started:
                self.loop.close()
            if self.loop.is_closed():
                return
        self.call(self.loop.stop)
        if threading.current_thread() is not self.thread:
            self.thread.join(STOP_WAIT_S)

    def call(self, function: typing.Callable[[], object]) -> None:
        """Schedule a function call in the thread of the loop.

        It is ignored once the loop has ended.
        """
        call_soon(self.loop, function)

    def spawn(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, Result]
    ) -> concurrent.futures.Future[Result]:
        """Schedule a coroutine and return the future of its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop)


def call_soon(
    loop: asyncio.AbstractEventLoop, function: typing.Callable[[], object]
) -> None:
    """Schedule a call in the thread of a loop unless it has ended."""
    try:
        loop.call_soon_threadsafe(function)
    except RuntimeError:
        if not loop.is_closed():
            raise


async def cancel_all_tasks() -> None:
    """Cancel all tasks except this one and wait for them to end.

    A connection that is being accepted starts another task meanwhile.  If
    that task were left, it would end after the loop and fail to close its
    connection.
    """
    while tasks := asyncio.all_tasks() - {asyncio.current_task()}:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def log_loop_error(
    loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
) -> None:
    """Log an error that no task handles, such as a failed accept."""
    del loop
    log.warning(
        "event_loop_fault",
        detail=context["message"],
        error=str(context.get("exception", "")),
    )
