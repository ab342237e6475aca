from __future__ import annotations

import asyncio
import concurrent.futures
import threading
import time

import pytest

from briarseam import changes
from briarseam.testing import waiting

SOON_S = 0.2
LATE_S = 5.0


class Light:
    """Something that is switched on once."""

    def __init__(self):
        self.changed = changes.Change()
        self.on = False

    def is_on(self):
        return self.on

    def switch_on(self):
        with self.changed:
            self.on = True
            self.changed.notify_all()

    async def seen(self, timeout_s):
        await self.changed.reached(self.is_on, timeout_s)
        return self.on


@pytest.fixture
def light():
    return Light()


def test_thread_and_coroutines_are_woken_by_one_change(light):
    async def all_seen():
        return await asyncio.gather(*(light.seen(LATE_S) for _ in range(50)))

    def seen_by_thread():
        with light.changed:
            return light.changed.wait_for(light.is_on, LATE_S)

    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        seen = pool.submit(asyncio.run, all_seen())
        beside = pool.submit(seen_by_thread)
        waiting.until(
            lambda: sum(map(len, light.changed.sleepers.values())) == 50
        )
        light.switch_on()
        assert seen.result(LATE_S) == [True] * 50
        assert beside.result(LATE_S)
    assert light.changed.sleepers == {}


def test_what_holds_already_is_not_waited_for(light):
    light.switch_on()
    assert asyncio.run(light.seen(LATE_S))


def test_wait_ends_with_its_time_and_is_forgotten(light):
    began = time.monotonic()
    assert not asyncio.run(light.seen(SOON_S))
    assert SOON_S / 2 <= time.monotonic() - began < LATE_S
    assert light.changed.sleepers == {}


def test_change_that_leaves_the_condition_unmet_wakes_nobody_for_good(light):
    async def seen():
        asking = asyncio.create_task(light.seen(LATE_S))
        for _ in range(3):
            await asyncio.sleep(SOON_S / 10)
            with light.changed:
                light.changed.notify_all()
        assert not asking.done()
        threading.Thread(target=light.switch_on).start()
        return await asking

    assert asyncio.run(seen())


def test_change_after_the_loop_has_ended_is_of_no_effect(light):
    """A reader ends while others wait for its news; the news comes later."""

    async def left_waiting():
        waits = asyncio.create_task(light.seen(LATE_S))
        await asyncio.sleep(0)
        loop = asyncio.get_running_loop()
        kept = light.changed.sleepers[loop]
        waits.cancel()
        return loop, set(kept)

    loop, futures = asyncio.run(left_waiting())
    light.changed.sleepers[loop] = futures
    light.switch_on()
    assert light.changed.sleepers == {}
