from __future__ import annotations

import importlib.util
import pathlib
import sys

ROOT = pathlib.Path(__file__).parents[2]


def test_the_bench_of_decisions_still_decides(monkeypatch):
    """Somebody changes how an agent is composed.  The bench composes its
    deciding parts by hand, and would fail only when a figure is wanted.
    """
    monkeypatch.chdir(ROOT)
    path = ROOT / "bench/decision_cost.py"
    name = "decision_cost"
    spec = importlib.util.spec_from_file_location(name, path)
    bench = importlib.util.module_from_spec(spec)
    monkeypatch.setitem(sys.modules, name, bench)
    spec.loader.exec_module(bench)
    agent = bench.Agent(bench.Size(2, 10, 3, 4))
    agent.report_loads()
    granted = agent.admit(agent.ask())
    agent.end(granted)
    assert granted.endpoint.startswith("engine-")
