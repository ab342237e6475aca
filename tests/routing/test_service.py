from __future__ import annotations

import dataclasses

import pytest

from briarseam.cache import state as cache
from briarseam.routing import state
from tests.routing import conftest


def send(bench, prompt_query, run_id):
    choice = bench.chooser.choose_engine(prompt_query)
    assert isinstance(choice, state.Choice)
    bench.chooser.record_start(run_id, choice)
    return choice


def test_burst_between_two_reports_spreads_over_the_engines(bench):
    """Load reports lag by half a second.  If the agent didn't count its own
    runs, all requests within that time would go to the engine that looked
    idle in the last report.
    """
    for name in bench.view.endpoints:
        bench.report(name, busy=0, slots=4)
    chosen = [
        send(
            bench, conftest.prompt_query(f"s{number}", pieces=1), str(number)
        ).endpoint
        for number in range(16)
    ]
    counts = {name: chosen.count(name) for name in bench.view.endpoints}
    assert max(counts.values()) <= 4, counts


def test_returning_session_goes_to_the_engine_with_its_prefix(bench):
    """A long prompt is sent again.  The engine that has just computed it
    needs to compute the last incomplete piece only.
    """
    first = send(bench, conftest.prompt_query(), "one")
    bench.chooser.record_end("one", complete=True)
    again = bench.chooser.choose_engine(conftest.prompt_query())
    assert again.endpoint == first.endpoint
    assert again.recompute_pieces == 0


def test_full_engine_is_avoided_although_it_has_the_prefix(bench):
    """The wait at the engine with the prefix is many times longer than the
    prefill elsewhere.
    """
    first = send(bench, conftest.prompt_query(), "one")
    bench.chooser.record_end("one", complete=True)
    bench.clock.now += 1
    for name in bench.view.endpoints:
        bench.report(name, busy=40 if name == first.endpoint else 0)
    again = bench.chooser.choose_engine(conftest.prompt_query())
    assert again.endpoint != first.endpoint


def test_organisations_do_not_share_prefixes(bench):
    """Two organisations send the same text.  Engines salt their caches, so
    the prefix of the one is of no use to the other.
    """
    send(bench, conftest.prompt_query(), "one")
    other = bench.chooser.choose_engine(
        conftest.prompt_query(organisation="south")
    )
    assert other.cached_pieces == 0


def test_new_weight_version_does_not_match_old_prefixes(bench):
    """A prompt returns after its model's weights were changed; prefixes that
    the engine computed with the old version are of no use.
    """
    send(bench, conftest.prompt_query(), "one")
    other = bench.chooser.choose_engine(conftest.prompt_query(version="v2"))
    assert other.cached_pieces == 0


def test_leaving_and_excluded_endpoints_get_no_runs(bench):
    """Two engines are leaving and one was lost with this request.  The fourth
    gets it; if that one leaves, too, the refusal says when to retry.
    """
    bench.leaving.update({"engine-0", "engine-1"})
    prompt_query = conftest.prompt_query(excluded=frozenset({"engine-2"}))
    assert bench.chooser.choose_engine(prompt_query).endpoint == "engine-3"
    bench.leaving.add("engine-3")
    refused = bench.chooser.choose_engine(prompt_query)
    assert isinstance(refused, state.NoChoice)
    assert refused.retry_after_s > 0


def test_restarted_engine_has_no_prefixes(bench):
    """An engine crashes and restarts at the same address with an empty cache
    and a new boot id.
    """
    first = send(bench, conftest.prompt_query(), "one")
    bench.report(first.endpoint, busy=0, boot="one")
    send(bench, conftest.prompt_query(), "two")
    bench.report(first.endpoint, busy=0, boot="other")
    bench.chooser.record_boot_id(first.endpoint, "other")
    cached_pieces = bench.chooser.predictor.prefixes.count_leading(
        first.endpoint, first.keys
    )
    assert cached_pieces == 0


def planned(seconds):
    """Return a plan of four blocks with this import time each."""
    block = cache.Block(b"n" * 60, 1000, b"c" * 16, "store", "boot")
    blocks = tuple(
        cache.Planned(bytes([number]) * 16, block) for number in range(4)
    )
    arrival_s = tuple(seconds * number for number in range(1, 5))
    return cache.Plan("draft", "v1", 0, blocks, arrival_s)


@pytest.mark.parametrize(
    ("seconds", "imported"),
    [
        pytest.param(0.01, 4, id="fast-link"),
        pytest.param(2.0, 0, id="slow-link"),
    ],
)
def test_blocks_are_imported_only_where_that_is_faster(
    bench, seconds, imported
):
    """A prompt's blocks are kept, but the link may be slow.  If all kept
    blocks were imported, the request would wait for the link.
    """
    bench.kept.offered = planned(seconds)
    choice = bench.chooser.choose_engine(conftest.prompt_query())
    assert len(choice.plan.blocks) == imported
    assert choice.recompute_pieces == 4 - imported


def test_number_of_predictions_is_bounded(bench):
    """A cell at the design size has 139 engines; predictions are made for a
    few of them only.
    """
    engines = {
        f"engine-{number}": dataclasses.replace(
            bench.view.endpoints["engine-0"], address=f"127.0.0.1:{number}"
        )
        for number in range(139)
    }
    bench.view.endpoints.clear()
    bench.view.endpoints.update(engines)
    predicted = []
    predict = bench.chooser.predictor.predict
    bench.chooser.predictor.predict = lambda prompt, name: (
        predicted.append(name) or predict(prompt, name)
    )
    bench.chooser.choose_engine(conftest.prompt_query())
    assert len(predicted) <= 2 * bench.view.routing.candidates


def test_pieces_that_may_have_been_evicted_are_imported(bench):
    """A session returns after other prompts have filled most of its engine's
    memory.  The engine has evicted the session's pieces, but its event has
    not arrived yet; without the import the whole prompt would be computed
    although the stores have it.
    """
    for name in bench.view.endpoints:
        if name != "engine-0":
            bench.leaving.add(name)
    bench.report("engine-0", busy=0)
    send(bench, conftest.prompt_query("returns"), "one")
    bench.kept.offered = planned(0.01)
    immediate = bench.chooser.choose_engine(conftest.prompt_query("returns"))
    assert not immediate.plan.blocks
    for number in range(20):
        send(
            bench, conftest.prompt_query(f"other-{number}"), f"other-{number}"
        )
        bench.chooser.record_end(f"other-{number}", complete=True)
    later = bench.chooser.choose_engine(conftest.prompt_query("returns"))
    assert later.cached_pieces == 4
    assert len(later.plan.blocks) == 4
