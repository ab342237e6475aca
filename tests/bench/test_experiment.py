from __future__ import annotations

import pathlib

import pytest

from briarseam.bench import experiment
from briarseam.bench import measures
from briarseam.bench import report
from briarseam.bench import workload

ROOT = pathlib.Path(__file__).parents[2]
FILES = sorted((ROOT / "bench" / "experiments").glob("*.ini"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_each_committed_experiment_loads(path):
    """Somebody repeats a figure months later.  The file it came from must
    still be an experiment.
    """
    loaded = experiment.load(str(path))
    assert loaded.arms


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        pytest.param(("seed = 17", "seed = x"), "seed", id="type"),
        pytest.param(("seed = 17", "sede = 17"), "sede", id="unknown"),
        pytest.param(("[arm ", "[leg "), "[arm NAME]", id="no-arm"),
        pytest.param(("rate_per_s = 11", ""), "rate_per_s", id="missing"),
    ],
)
def test_a_bad_file_says_where_and_what(tmp_path, change, expected):
    """Somebody mistypes an experiment; the error names the place, before
    any load is sent.
    """
    text = (ROOT / "bench/experiments/dk-east.ini").read_text()
    path = tmp_path / "bad.ini"
    path.write_text(text.replace(*change))
    with pytest.raises(experiment.ExperimentError, match="bad.ini") as error:
        experiment.load(str(path))
    assert expected in str(error.value)


def test_all_arms_send_the_same_at_the_same_times():
    """Arms are compared with one another, so each must get the very same
    requests; only the sessions' names differ.
    """
    loaded = experiment.load(str(ROOT / "bench/experiments/dk-east.ini"))
    one, two = (
        workload.Generator(loaded.workload, arm).requests()
        for arm in ("one", "two")
    )
    assert [(r.at_s, r.tokens, r.organisation) for r in one] == [
        (r.at_s, r.tokens, r.organisation) for r in two
    ]
    assert {r.session for r in one}.isdisjoint({r.session for r in two})


def test_a_returning_prompt_begins_with_the_last_one():
    """A session returns with a longer history.  Were its text made anew,
    nothing could ever be reused and the bench would measure noise.
    """
    first = workload.Request(0.0, "north", "s-1", 1500, False)
    later = workload.Request(9.0, "north", "s-1", 1800, True)
    assert workload.prompt_of(later).startswith(workload.prompt_of(first))
    assert len(workload.prompt_of(later).split()) == 1800


def test_priming_sends_each_session_once_before_the_clock():
    """A bench of returning sessions begins with an empty store.  Were the
    first prompts of the sessions measured, they would be called recomputed
    although nobody could have kept them.
    """
    loaded = experiment.load(str(ROOT / "bench/experiments/dk-east.ini"))
    generator = workload.Generator(loaded.workload, "policy")
    later = generator.requests()
    primed = {one.session for one in generator.primed}
    assert len(primed) == loaded.workload.sessions
    assert all(one.returning for one in later if one.session in primed)


@pytest.mark.parametrize(
    ("seen", "new", "unkept"),
    [
        pytest.param(0, 2300, 2300, id="first"),
        pytest.param(2000, 300, 300, id="whole-pieces"),
        pytest.param(1900, 400, 1300, id="part-piece"),
    ],
)
def test_what_was_never_sent_cannot_be_reused(seen, new, unkept):
    """A prompt returns with 300 new words behind a part piece.  Those are
    computed under any policy; only the rest says how good one is.
    """
    request = workload.Request(0.0, "north", "s", 2300, seen > 0, seen)
    assert (request.new_tokens, request.unkept_tokens) == (new, unkept)


def test_the_file_of_results_stays_small_and_keeps_failures():
    """A long run makes a point for each request; the file in the
    repository must not grow with it, yet show every refusal.
    """
    points = tuple(
        measures.Point(n, 1.0, "cut" if n == 7 else "whole")
        for n in range(report.MAX_POINTS * 3)
    )
    thinned = report.thin(points)
    assert len(thinned) <= report.MAX_POINTS + 1
    assert points[7] in thinned


def test_an_arm_may_change_the_load(tmp_path):
    """The fairness figure compares a small organisation with and without
    another's burst.  All else that is sent must be the same in both arms.
    """
    text = (ROOT / "bench/experiments/dk-east.ini").read_text()
    path = tmp_path / "burst.ini"
    path.write_text(
        text + "workload.burst_organisation = kommune-tilsyn\n"
        "workload.burst_at_s = 5\n"
        "workload.burst_for_s = 2\n"
        "workload.burst_rate_per_s = 10\n"
    )
    calm, burst = experiment.load(str(path)).arms
    assert not any(name.startswith("workload.") for name in burst.sets)
    sent = workload.Generator(calm.workload, "x").requests()
    more = workload.Generator(burst.workload, "x").requests()
    added = [one for one in more if one not in sent]
    assert len(more) == len(sent) + 20
    assert {one.organisation for one in added} == {"kommune-tilsyn"}
