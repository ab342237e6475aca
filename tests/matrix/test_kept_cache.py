"""The kept cache under faults, from a caller to engines and stores."""

from __future__ import annotations

import pytest
import urllib3

from briarseam.testing import answers
from briarseam.testing import deployment
from briarseam.testing import engine_switches
from briarseam.testing import store
from briarseam.testing import waiting
from briarseam.testing import words

PIECES = 3
LENGTH = 1000 * PIECES
SWITCHES = engine_switches.Switches(
    prefill_s_per_piece=0.1,
    token_s=0.001,
    load_lag_ms=20,
    kv_bytes_per_token=4,
)


@pytest.fixture
def running(tmp_path):
    shape = deployment.Shape(instances=1, engines=1, stores=1)
    with deployment.Deployment(tmp_path, shape, SWITCHES) as started:
        waiting.until(
            lambda: kept(started).stores.writable(), what="the store"
        )
        yield started


def kept(running, instance=0):
    return running.instances[instance].agent.serving.kept


def counted(running, event):
    return kept(running).metrics.events.labelled(event).value


def prefixes(running):
    placer = running.instances[0].agent.serving.placer
    known = placer.parts.chooser.prefixes
    return sum(len(one.last_used) for one in known.engines.values())


def ask(running, prompt, organisation="north", **changes):
    caller = running.caller(organisation)
    answer = caller.ask(deployment.prompt_body(prompt, **changes))
    expected = answers.expected_answer(
        deployment.MODEL, deployment.VERSION, prompt, 8
    )
    assert answer.done, answer
    assert answer.tokens == expected
    return answer


def keep(running, prompt, pieces=PIECES):
    """Ask once, and wait until what it left is in the store."""
    before = len(kept(running).index)
    ask(running, prompt)
    waiting.until(
        lambda: len(kept(running).index) == before + pieces,
        what="the exports",
    )


def evict(running):
    """Let the engines lose their memory and the agent learn of it."""
    for engine in running.engines.values():
        engine.cache.drop_version(deployment.MODEL, deployment.VERSION)
    waiting.until(lambda: prefixes(running) == 0, what="the cache events")


def restart_store(running, switches=None):
    """Kill the store and start another boot at its address."""
    old = running.stores["store-0"]
    old.stop()
    running.stores["store-0"] = store.Store(switches).start()
    tree = running.tree()
    running.publish({"endpoints/store-0": tree["endpoints/store-0"]})


def test_a_prompt_that_returns_after_its_eviction_is_not_recomputed(running):
    """An inspection history comes back after days.

    The engine has long dropped it; its KV comes from the store, before
    the run is granted.
    """
    prompt = words.prompt(LENGTH + 500, "history")
    keep(running, prompt)
    evict(running)

    answer = ask(running, prompt)

    assert answer.reused_tokens == LENGTH
    assert counted(running, "imported_blocks") == PIECES


def test_another_organisation_with_the_same_prompt_gets_no_block(running):
    """Two organisations send the same text, one after the other.

    The second must be computed whole: a hit would show it what the first
    has asked.
    """
    prompt = words.prompt(LENGTH, "shared")
    keep(running, prompt)
    evict(running)

    answer = ask(running, prompt, organisation="south")

    assert answer.reused_tokens == 0
    assert counted(running, "imported_blocks") == 0


def test_a_killed_store_costs_a_recomputation_and_no_answer(running):
    """The store dies between two turns of a session.

    The caller gets the whole answer, computed anew.
    """
    prompt = words.prompt(LENGTH, "history")
    keep(running, prompt)
    evict(running)
    running.stores["store-0"].stop()

    answer = ask(running, prompt)

    assert answer.reused_tokens == 0


def test_a_store_refilled_under_another_boot_is_used_anew(running):
    """The store comes back empty; the old entries are of another boot.

    The first return is computed and kept again, the second is imported.
    """
    prompt = words.prompt(LENGTH, "history")
    keep(running, prompt)
    restart_store(running)
    waiting.until(lambda: len(kept(running).index) == 0, what="the other boot")
    evict(running)

    assert ask(running, prompt).reused_tokens == 0
    waiting.until(lambda: len(kept(running).index) == PIECES)
    evict(running)
    assert ask(running, prompt).reused_tokens == LENGTH


def test_a_corrupt_block_is_recomputed_and_never_read_again(running):
    """The store gives a wrong byte in the second piece.

    The engine's check finds it; the caller's answer is right, and the
    next return does not meet the block.
    """
    prompt = words.prompt(LENGTH, "history")
    keep(running, prompt)
    evict(running)
    running.stores["store-0"].set(corrupt_reads=1)

    assert ask(running, prompt).reused_tokens == 0
    assert counted(running, "bad_blocks") == 1


def test_a_half_written_block_is_never_read(running):
    """The store keeps half of a block and says that it has all of it."""
    prompt = words.prompt(LENGTH, "history")
    running.stores["store-0"].set(half_writes=1)
    ask(running, prompt)
    waiting.until(lambda: counted(running, "exports_unconfirmed"))
    evict(running)

    assert ask(running, prompt).reused_tokens == 0
    assert counted(running, "imported_blocks") == 0


def test_a_full_store_goes_on_with_what_is_worth_most(running):
    """More sessions return than the store holds.

    Every caller gets the whole answer, and the store stays below its
    limit.
    """
    full = running.stores["store-0"]
    full.set(capacity=30_000)
    waiting.until(lambda: full_known(running))
    for number in range(5):
        prompt = words.prompt(LENGTH, f"history {number}")
        ask(running, prompt, session=f"s{number}")

    waiting.until(lambda: counted(running, "deleted_blocks"))
    waiting.until(lambda: full.state().used <= 0.9 * 30_000)


def full_known(running):
    found = kept(running).stores.get("store-0")
    return found is not None and found.capacity == 30_000


def test_over_a_link_that_is_too_slow_prompts_are_recomputed(running):
    """The link to the store slows down until importing takes longer.

    One import finds out and is given up; the next return is computed
    without waiting for the link.
    """
    prompt = words.prompt(LENGTH, "history")
    keep(running, prompt)
    running.stores["store-0"].set(link_bytes_per_s=4000)
    evict(running)
    ask(running, prompt)
    assert counted(running, "imports") == 1
    evict(running)

    ask(running, prompt)

    assert counted(running, "imports") == 1


def test_a_lost_eviction_event_does_not_hide_the_store_for_long(running):
    """The engine evicts and its events never come.

    The gap shows as soon as one later event comes through; then the
    agent reads everything again and the prompt is imported.
    """
    prompt = words.prompt(LENGTH, "history")
    keep(running, prompt)
    engine = running.engines["engine-0"]
    engine.set(event_loss=1.0)
    engine.cache.drop_version(deployment.MODEL, deployment.VERSION)
    waiting.until(lambda: prefixes(running) == 0, what="the gap")

    assert ask(running, prompt).reused_tokens == LENGTH


@pytest.fixture
def spread(tmp_path):
    shape = deployment.Shape(instances=2, engines=1, stores=1, zones=2)
    with deployment.Deployment(tmp_path, shape, SWITCHES) as started:
        for number in range(2):
            waiting.until(
                lambda number=number: kept(started, number).stores.writable()
            )
        list_agents(started)
        yield started


def list_agents(running):
    """Put the agents on the platform's list, and wait until it is read."""
    for instance in running.instances:
        mine = instance.settings.instance
        row = {
            "name": mine.name,
            "role": "agent",
            "address": str(mine.agent_address),
            "zone": mine.zone,
            "state": "live",
        }
        url = f"http://{running.list.address}/instances/{mine.name}"
        urllib3.request("PUT", url, json=row)
    for number in range(len(running.instances)):
        waiting.until(lambda number=number: both_known(running, number))


def both_known(running, number):
    order = kept(running, number).ports.holders.layout().order("key", 2)
    return len(order) == 2


@pytest.mark.parametrize("first", [0, 1])
def test_a_session_that_comes_back_elsewhere_is_imported_there(spread, first):
    """A caller's instance is gone; its session comes to another one.

    That one asks who keeps the session's index, or keeps it itself.
    """
    prompt = words.prompt(LENGTH, "history")
    body = deployment.prompt_body(prompt)
    spread.caller(instance=first).ask(body)
    waiting.until(lambda: len(kept(spread, first).index) == PIECES)
    for engine in spread.engines.values():
        engine.cache.drop_version(deployment.MODEL, deployment.VERSION)
    waiting.until(lambda: len(kept(spread, 1 - first).index) == PIECES)

    answer = spread.caller(instance=1 - first).ask(body)

    assert answer.reused_tokens == LENGTH
