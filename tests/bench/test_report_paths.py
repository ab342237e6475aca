"""The command that a result names."""

from __future__ import annotations

import pytest

from briarseam.bench import report


@pytest.mark.parametrize(
    ("given", "named"),
    [
        pytest.param("experiments/a.ini", "experiments/a.ini", id="relative"),
        pytest.param("{here}/experiments/a.ini", "experiments/a.ini", id="in"),
        pytest.param("{here}/../b.ini", "b.ini", id="elsewhere"),
    ],
)
def test_result_names_no_path_of_the_machine(
    given, named, tmp_path, monkeypatch
):
    # Results are committed.  Whoever gives the experiment's whole path
    # would put the folders of one machine into the tree.
    here = tmp_path / "here"
    here.mkdir()
    monkeypatch.chdir(here)
    assert report.relative(given.format(here=here)) == named
