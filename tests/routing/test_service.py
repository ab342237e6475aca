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


def test_a_burst_between_two_reports_spreads_over_the_engines(bench):
    """Load reports lag by half a second.  Sixteen requests of sixteen
    sessions come within that time; without counting one's own dispatches
    all of them would follow the one idle-looking report to one engine.
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


def test_a_returning_session_goes_where_its_prefix_is(bench):
    """A caller sends its long prompt again a moment later.  The engine
    that has just computed it needs nothing but the last part piece.
    """
    first = send(bench, conftest.prompt_query(), "one")
    bench.chooser.record_end("one", complete=True)
    again = bench.chooser.choose_engine(conftest.prompt_query())
    assert again.endpoint == first.endpoint
    assert again.recompute_pieces == 0


def test_a_full_engine_is_left_although_it_has_the_prefix(bench):
    """The engine with the prefix has a queue many times longer than the
    prefill would take elsewhere; the caller must not wait behind it.
    """
    first = send(bench, conftest.prompt_query(), "one")
    bench.chooser.record_end("one", complete=True)
    bench.clock.now += 1
    for name in bench.view.endpoints:
        bench.report(name, busy=40 if name == first.endpoint else 0)
    again = bench.chooser.choose_engine(conftest.prompt_query())
    assert again.endpoint != first.endpoint


def test_other_organisations_do_not_share_prefixes(bench):
    """Two organisations send the same text.  Engines salt their caches,
    so the second gains nothing from the first's run.
    """
    send(bench, conftest.prompt_query(), "one")
    other = bench.chooser.choose_engine(
        conftest.prompt_query(organisation="south")
    )
    assert other.have == 0


def test_a_new_version_does_not_count_old_prefixes(bench):
    """A prompt returns after its model's weights were swapped; what the
    engine computed under the old version is of no use.
    """
    send(bench, conftest.prompt_query(), "one")
    other = bench.chooser.choose_engine(conftest.prompt_query(version="v2"))
    assert other.have == 0


def test_leaving_and_excluded_endpoints_get_nothing(bench):
    """Three engines leave or were lost while running this request; the
    fourth gets it, and without that one the refusal says when to return.
    """
    bench.leaving.update({"engine-0", "engine-1"})
    prompt_query = conftest.prompt_query(excluded=frozenset({"engine-2"}))
    assert bench.chooser.choose_engine(prompt_query).endpoint == "engine-3"
    bench.leaving.add("engine-3")
    refused = bench.chooser.choose_engine(prompt_query)
    assert isinstance(refused, state.NoChoice)
    assert refused.retry_after_s > 0


def test_an_engine_that_was_started_anew_has_no_prefixes(bench):
    """An engine crashes and comes back under the same address with an
    empty cache; its new boot id says so.
    """
    first = send(bench, conftest.prompt_query(), "one")
    bench.report(first.endpoint, busy=0, boot="one")
    send(bench, conftest.prompt_query(), "two")
    bench.report(first.endpoint, busy=0, boot="other")
    bench.chooser.note_boot(first.endpoint, "other")
    have = bench.chooser.predictor.prefixes.leading(first.endpoint, first.keys)
    assert have == 0


def planned(seconds):
    """Return a plan of four blocks that each take so long."""
    block = cache.Block(b"n" * 60, 1000, b"c" * 16, "store", "boot")
    blocks = tuple(
        cache.Planned(bytes([number]) * 16, block) for number in range(4)
    )
    until_s = tuple(seconds * number for number in range(1, 5))
    return cache.Plan("draft", "v1", 0, blocks, until_s)


@pytest.mark.parametrize(
    ("seconds", "imported"),
    [
        pytest.param(0.01, 4, id="fast-link"),
        pytest.param(2.0, 0, id="slow-link"),
    ],
)
def test_import_or_recompute_goes_by_time(bench, seconds, imported):
    """A prompt's blocks are kept, but the link may have slowed to a
    tenth.  Presence alone would make the caller wait for the link.
    """
    bench.kept.offered = planned(seconds)
    choice = bench.chooser.choose_engine(conftest.prompt_query())
    assert len(choice.plan.blocks) == imported
    assert choice.recompute_pieces == 4 - imported


def test_the_choice_costs_the_same_with_many_engines(bench):
    """A cell at the design size has 139 engines; predictions are made for
    a few of them only.
    """
    engines = {
        f"engine-{number}": dataclasses.replace(
            bench.view.endpoints["engine-0"], address=f"127.0.0.1:{number}"
        )
        for number in range(139)
    }
    bench.view.endpoints.clear()
    bench.view.endpoints.update(engines)
    seen = []
    predict = bench.chooser.predictor.predict
    bench.chooser.predictor.predict = lambda prompt, name: (
        seen.append(name) or predict(prompt, name)
    )
    bench.chooser.choose_engine(conftest.prompt_query())
    assert len(seen) <= 2 * bench.view.routing.candidates


def test_what_an_engine_may_have_evicted_is_imported_all_the_same(bench):
    """A session returns after other prompts have filled most of its
    engine's memory.  The engine evicted it a moment ago and its event is
    not there yet; trusted, the caller would wait for the whole prompt to
    be computed although the stores have it.
    """
    for name in bench.view.endpoints:
        if name != "engine-0":
            bench.leaving.add(name)
    bench.report("engine-0", busy=0)
    send(bench, conftest.prompt_query("returns"), "one")
    bench.kept.offered = planned(0.01)
    soon = bench.chooser.choose_engine(conftest.prompt_query("returns"))
    assert not soon.plan.blocks
    for number in range(20):
        send(
            bench, conftest.prompt_query(f"other-{number}"), f"other-{number}"
        )
        bench.chooser.record_end(f"other-{number}", complete=True)
    later = bench.chooser.choose_engine(conftest.prompt_query("returns"))
    assert later.have == 4
    assert len(later.plan.blocks) == 4
