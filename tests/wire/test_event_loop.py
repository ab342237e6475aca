from __future__ import annotations

import asyncio
import threading

import pytest

from briarseam.wire import event_loop

TIMEOUT_S = 5.0


@pytest.fixture
def loop():
    made = event_loop.EventLoop("test-loop")
    made.start()
    yield made
    made.stop()


def test_call_runs_while_a_coroutine_waits(loop):
    event = asyncio.Event()

    async def wait():
        await event.wait()
        return "done"

    waiting = loop.spawn(wait())
    loop.call(event.set)
    assert waiting.result(TIMEOUT_S) == "done"


def test_stop_cancels_running_tasks(loop):
    ended = threading.Event()
    begun = threading.Event()

    async def run():
        begun.set()
        try:
            await asyncio.sleep(60)
        finally:
            ended.set()

    loop.spawn(run())
    assert begun.wait(TIMEOUT_S)
    loop.stop()
    assert ended.is_set()
    assert not loop.thread.is_alive()


def test_stop_cancels_tasks_that_start_while_others_are_cancelled(loop):
    """Guards against a connection that is accepted as a process stops: its
    task outlived the loop and logged an error when it could not close it.
    """
    begun, ended = threading.Event(), threading.Event()
    tasks = []

    async def second():
        try:
            await asyncio.sleep(TIMEOUT_S)
        except asyncio.CancelledError:
            ended.set()
            raise

    async def first():
        begun.set()
        try:
            await asyncio.sleep(TIMEOUT_S)
        finally:
            tasks.append(asyncio.ensure_future(second()))
            await asyncio.sleep(0)

    loop.spawn(first())
    assert begun.wait(TIMEOUT_S)
    loop.stop()
    assert ended.is_set()


def test_error_in_a_call_does_not_stop_the_loop(loop):
    loop.call(lambda: 1 / 0)

    async def answer():
        return "alive"

    assert loop.spawn(answer()).result(TIMEOUT_S) == "alive"


def test_call_after_stop_is_ignored(loop):
    loop.stop()
    loop.call(lambda: pytest.fail("called"))
    loop.stop()


def test_unstarted_loop_can_be_stopped():
    made = event_loop.EventLoop("never")
    made.stop()
    made.stop()
    assert made.loop.is_closed()
