"""Publishing a change: each step of its path under each fault."""

from __future__ import annotations

import json
import os
import signal
import threading

import pytest
from tests.configuration import helpers
from tests.matrix import log_proxy

from briarseam.configuration import loading
from briarseam.configuration import reader as readers
from briarseam.configuration import records
from briarseam.configuration import snapshots
from briarseam.configuration import snapshotting
from briarseam.configuration import teams as team_types
from briarseam.testing import log_service
from briarseam.testing import waiting

KEY = b"fedcba9876543210"
TEAMS = team_types.Teams((team_types.Team("night-desk", (KEY,), ("models",)),))
BEFORE = {"models/a": {"version": "1"}, "models/b": {"version": "1"}}
AFTER = {"models/a": {"version": "2"}, "models/b": {"version": "2"}}
RIVAL = {"models/a": {"version": "3"}, "models/b": {"version": "1"}}
DECLARED = "[models/a]\nversion = 2\n[models/b]\nversion = 2\n"
SETTLE = "3s"
PAUSE_S = 0.4

# The publisher's messages to the log: it reads the snapshots, reads the
# tree to its end, appends, and reads its own record back.
STEPS = {
    "tree-read": ("GET configuration", 1, "after"),
    "append-under-way": ("POST configuration", 1, "before"),
    "append-in-effect": ("POST configuration", 1, "after"),
    "read-back": ("GET configuration", 2, "before"),
    "verdict-read": ("GET configuration", 2, "after"),
}
ACCEPTED, REJECTED, UNKNOWN, KILLED = 0, 1, 3, -signal.SIGKILL
# What the operator may be told; the tree must agree with it.
TOLD = {
    "kill": {KILLED},
    "freeze": {ACCEPTED, REJECTED},
    "cut": {ACCEPTED, REJECTED},
    "outage": {ACCEPTED, REJECTED},
    "slow": {ACCEPTED, REJECTED, UNKNOWN},
    "long-outage": {ACCEPTED, REJECTED, UNKNOWN},
    "race": {ACCEPTED, REJECTED},
    "outage-and-kill": {KILLED},
    "race-and-cut": {ACCEPTED, REJECTED},
}


def change(sets, expects=None, base=0):
    return helpers.change(sets, expects, base=base, author="night-desk")


@pytest.fixture
def cluster():
    with log_service.LogService() as log:
        found = helpers.Cluster(log, TEAMS)
        found.append(change(BEFORE))
        for name in ("x", "y", "z"):
            found.add(name)
        waiting.until(lambda: found.offsets() == {1})
        yield found
        for name in list(found.agents):
            found.remove(name)


@pytest.fixture
def proxy(cluster):
    with log_proxy.LogProxy(cluster.log.address) as found:
        yield found


@pytest.fixture
def publisher(proxy, start_python, valid, write, tmp_path):
    """Start ``config apply`` as a process whose log is the proxy."""
    settings = write(
        valid.replace("127.0.0.1:9001", proxy.address).replace(
            "paths = models\n  organisations/kitchen", "paths = models"
        )
    )
    tree = tmp_path / "tree"
    tree.mkdir()
    (tree / "models.ini").write_text(DECLARED)

    def start():
        return start_python(
            *("-m", "briarseam", "config", "apply", str(tree), "--json"),
            *("--settings", settings, "--no-follow", "--settle", SETTLE),
        )

    return start


class Faults:
    """The faults, each to be carried out at a step."""

    def __init__(self, cluster, process):
        self.cluster = cluster
        self.process = process
        self.later = []

    def act(self, name):
        results = [getattr(self, part)() for part in name.split("-and-")]
        return log_proxy.CUT if log_proxy.CUT in results else None

    def kill(self):
        self.process().kill()

    def freeze(self):
        os.kill(self.process().pid, signal.SIGSTOP)
        self.after(
            PAUSE_S, lambda: os.kill(self.process().pid, signal.SIGCONT)
        )

    def cut(self):
        return log_proxy.CUT

    def outage(self, pause_s=PAUSE_S):
        self.cluster.log.set(outage=True)
        self.after(pause_s, lambda: self.cluster.log.set(outage=False))

    def long_outage(self):
        self.outage(pause_s=3.4)

    def slow(self):
        """Answer later than an append waits, each answer for a while."""
        self.cluster.log.set(delay_ms=2500)
        self.after(2.6, lambda: self.cluster.log.set(delay_ms=0))

    def race(self):
        rival = change(
            {"models/a": RIVAL["models/a"]}, {"models/a": 1}, base=1
        )
        data = records.encode(rival, TEAMS.sign)
        self.cluster.log.stream(records.STREAM).append(data)

    def after(self, pause_s, act):
        timer = threading.Timer(pause_s, act)
        timer.start()
        self.later.append(timer)

    def finish(self):
        for timer in self.later:
            timer.join()


# Two faults at once, and the longest one, only where the change is between
# the operator and the log.
APPENDING = ("append-under-way", "append-in-effect")
SINGLE = ("kill", "freeze", "cut", "outage", "race")
CELLS = [
    (step, fault)
    for step in STEPS
    for fault in TOLD
    if fault in SINGLE or step in APPENDING
]


@pytest.mark.parametrize(
    ("step", "fault"), CELLS, ids=["-".join(cell) for cell in CELLS]
)
def test_what_the_operator_is_told_is_what_came_into_force(
    cluster, proxy, publisher, step, fault
):
    # An operator applies a change of two paths and one step of it fails:
    # the process dies or is frozen, the connection is cut, the log is down,
    # or another operator is quicker.  Seen from outside the change is in
    # force whole or not at all, the same at all agents and as was told.
    started = []
    faults = Faults(cluster, lambda: waiting.until(lambda: started)[0])
    where = STEPS[step]
    proxy.fault = log_proxy.Fault(
        *where, lambda: faults.act(fault.replace("-outage", "_outage"))
    )
    started.append(publisher())
    out, err = started[0].communicate(timeout=30)
    status = started[0].returncode
    faults.finish()
    assert proxy.fired.is_set()
    assert status in TOLD[fault], (out, err)
    end = loading.load(
        cluster.client(), TEAMS, snapshots.derive_key(helpers.KEY)
    )
    waiting.until(lambda: cluster.offsets() == {end.offset})
    values = [
        agent.reader.tree.fold.values() for agent in cluster.agents.values()
    ]
    assert values == [end.values()] * 3
    assert values[0] in (BEFORE, AFTER, RIVAL)
    assert not any(
        agent.reader.counters.digest_mismatches
        for agent in cluster.agents.values()
    )
    if status == ACCEPTED:
        assert values[0] == AFTER
    if status == REJECTED:
        assert values[0] != AFTER
    if fault == "race" and step == "append-under-way":
        report = json.loads(out)
        assert report["outcome"]["path"] == "models/a"
        assert report["outcome"]["winning_revision"] == 2


def snapshot_often(cluster, proxy):
    """Add an agent behind the proxy that writes snapshots in two chunks."""
    options = readers.Options(
        log_wait_ms=100,
        all_agents_read=True,
        snapshots=snapshotting.Options(
            every_records=1, backoff_s=0.01, check_s=0.02
        ),
    )
    return cluster.add("writer", proxy.address, options).reader


AGENT_STEPS = {
    "log-read": "GET configuration",
    "snapshot-read": "GET configuration-snapshots",
    "snapshot-append": "POST configuration-snapshots",
}


@pytest.mark.parametrize("fault", ["cut", "outage"])
@pytest.mark.parametrize("when", ["before", "after"])
@pytest.mark.parametrize("step", list(AGENT_STEPS))
def test_an_agent_whose_step_fails_comes_to_the_same_tree(
    cluster, proxy, monkeypatch, step, when, fault
):
    # One agent's message to the log is cut or meets an outage, before or
    # after its effect, at the first of its kind or later.  The agent must
    # come to the tree of the others and a whole snapshot must follow.
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 40)
    faults = Faults(cluster, lambda: None)
    proxy.fault = log_proxy.Fault(
        AGENT_STEPS[step], 2, when, lambda: faults.act(fault)
    )
    key = snapshots.derive_key(helpers.KEY)

    def snapshot_through(offset):
        fold = loading.load_snapshot(cluster.client(), key)
        return fold.offset == offset

    waiting.until(lambda: snapshot_through(1))
    reader = snapshot_often(cluster, proxy)
    wanted = change(AFTER, {"models/a": 1, "models/b": 1}, base=1)
    offset = cluster.append(wanted)
    waiting.until(proxy.fired.is_set)
    faults.finish()
    waiting.until(lambda: cluster.offsets() == {offset})
    assert reader.tree.fold.values() == AFTER
    waiting.until(lambda: snapshot_through(offset))
    assert reader.counters.digest_mismatches == 0


def test_agents_started_at_any_moment_never_show_an_older_tree(cluster):
    # Half of the instances are replaced while changes go on and the log has
    # outages.  No agent that has shown a change may show less later.
    seen: dict[helpers.Agent, list[int]] = {}
    versions = []

    def look():
        for agent in list(cluster.agents.values()):
            seen.setdefault(agent, []).append(agent.reader.offset())

    revision = 1
    for number in range(12):
        if number % 4 == 1:
            cluster.log.set(outage=True)
            name = ("x", "y", "z")[number // 4]
            cluster.remove(name)
            cluster.add(name)
            look()
            waiting.until(cluster.agents[name].reader.ready)
            cluster.log.set(outage=False)
        value = {"version": str(number + 10)}
        revision = cluster.append(
            change({"models/a": value}, {"models/a": revision}, base=revision)
        )
        versions.append(value)
        look()
    waiting.until(lambda: look() or cluster.offsets() == {revision})
    for offsets in seen.values():
        assert offsets == sorted(offsets)
    for agent in cluster.agents.values():
        assert agent.reader.tree.fold.values()["models/a"] == versions[-1]
