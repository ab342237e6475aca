from __future__ import annotations

import hashlib
import http.server
import json
import pathlib
import threading

import pytest

from briarseam import run
from briarseam import settings
from briarseam import tokens
from briarseam.backing import log as logs
from briarseam.configuration import declarations
from briarseam.configuration import reader as readers
from briarseam.configuration import records
from briarseam.configuration import teams as team_types
from briarseam.testing import instance_list
from briarseam.testing import log_service
from briarseam.testing import waiting
from briarseam.wire import connection as connections

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
KEY = b"fedcba9876543210"
MODEL = "[models/draft]\nversion = 1\n"


@pytest.fixture
def log():
    with log_service.LogService() as service:
        yield service


@pytest.fixture
def entry():
    """An entry that tells the status set on it, to an operator's token."""

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            token = tokens.operator_token("night-desk", KEY)
            good = self.headers["Authorization"] == f"Bearer {token}"
            self.send_response(200 if good else 401)
            self.end_headers()
            self.wfile.write(json.dumps({"agents": server.agents()}).encode())

        def log_message(self, *args):
            pass

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    server.agents = lambda: [row("a", 99), row("b", 99)]
    threading.Thread(
        target=server.serve_forever, args=(0.02,), daemon=True
    ).start()
    yield server
    server.shutdown()
    server.server_close()


def row(name, offset, state="alive"):
    return {
        "name": name,
        "configuration_offset": offset,
        "state": state,
        "age_s": 0.5,
    }


@pytest.fixture
def config(log, entry, valid, write, capsys):
    """Run ``briarseam config`` and return status, output and errors."""
    with instance_list.InstanceList() as instances:
        for name in ("a", "b"):
            instances.put(
                name, instance_list.Registration("agent", "127.0.0.1:1", "z")
            )
        text = (
            valid.replace("127.0.0.1:9001", log.address)
            .replace("127.0.0.1:9002", instances.address)
            .replace(
                "entry_addresses = 127.0.0.1:8001, 127.0.0.1:8002",
                f"entry_addresses = 127.0.0.1:{entry.server_port}",
            )
            .replace("organisations/kitchen", "organisations")
        )
        path = write(text)

        def execute(action, *arguments):
            status = run.run(
                ["config", action, "--settings", path, *arguments]
            )
            return (status, *capsys.readouterr())

        yield execute


@pytest.fixture
def tree(tmp_path):
    """Write declarations and return their directory."""
    directory = tmp_path / "tree"
    directory.mkdir()

    def write_tree(text):
        (directory / "all.ini").write_text(text)
        return str(directory)

    return write_tree


def test_apply_makes_the_subtree_what_is_declared(config, tree):
    first = tree(f"{MODEL}[models/old]\nversion = 1\n")
    assert config("apply", first)[0] == 0
    directory = tree("[models/draft]\nversion = 2\n[models/new]\nversion=1\n")
    status, out, _ = config("diff", directory)
    assert status == 0
    assert [line for line in out.splitlines() if line[0] in "+~-"] == [
        "~ models/draft",
        "+ models/new",
        "- models/old",
    ]
    status, out, _ = config("apply", directory, "--operator", "bo")
    assert status == 0
    assert "accepted at offset 2" in out
    assert "in force at all 2 live agents" in out
    assert config("apply", directory)[1].startswith("nothing to change")
    _, out, _ = config("tree", "--json")
    assert [row["path"] for row in json.loads(out)] == [
        "models/draft",
        "models/new",
    ]
    _, out, _ = config("history", "--json")
    last = json.loads(out)[-1]
    assert (last["offset"], last["operator"], last["team"]) == (
        2,
        "bo",
        "night-desk",
    )
    assert last["paths"] == ["models/draft", "models/new", "-models/old"]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[models/draft]\nversion = 1\nfloor = few\n", "all.ini:3"),
        ("[models/draft]\nversions = 1\n", "unknown field versions"),
        ("[modles/draft]\nversion = 1\n", "no such path"),
        ("[models/draft]\nfloor = 1\n", "version"),
        ("[services/portal]\n", "a path that some team holds"),
        ("version = 1\n", "[section] first"),
        (
            f"[organisations/a]\ntoken_digest = {'0' * 32}\n"
            f"[organisations/b]\ntoken_digest = {'0' * 32}\n",
            "same token_digest as organisations/a",
        ),
    ],
    ids=["value", "field", "path", "missing", "team", "section", "token"],
)
def test_a_bad_declaration_publishes_nothing(
    config, tree, log, text, expected
):
    # One of many files has a slip.  Nothing of the directory may come into
    # force, and the operator is told the place and what was expected.
    status, _, err = config("apply", tree(f"{text}"))
    assert status == 2
    assert expected in err
    assert "all.ini" in err
    assert log.stream(records.STREAM).next_offset == 1


def test_a_declaration_based_on_an_older_tree_is_a_conflict(config, tree):
    # Somebody changed a path by hand since this checkout's last apply; to
    # apply it would take that change back without a word.
    directory = tree(MODEL)
    config("apply", directory)
    config("set", "models/draft", "version=2")
    status, out, _ = config("apply", directory, "--since", "1")
    assert status == 1
    assert "models/draft CONFLICT" in out
    assert json.loads(config("get", "models/draft", "--json")[1])["value"] == {
        "version": "2"
    }


def test_a_lost_race_names_the_path_and_what_won(
    config, tree, log, monkeypatch
):
    # Between this operator's plan and append another change of the same
    # path is accepted.
    teams = team_types.Teams(
        (team_types.Team("night-desk", (KEY,), ("models",)),)
    )
    rival = records.Change(
        "rival", "night-desk", "", 0, {"models/draft": 0}, {"models/draft": {}}
    )
    append = logs.LogClient.append

    def race(self, stream, data):
        log.stream(stream).append(records.encode(rival, teams.sign))
        return append(self, stream, data)

    monkeypatch.setattr(logs.LogClient, "append", race)
    status, out, _ = config("apply", tree(MODEL))
    assert status == 1
    assert "rejected: models/draft was set meanwhile, offset 1 won" in out


def test_an_agent_that_lags_is_named(config, tree, entry):
    entry.agents = lambda: [
        row("a", 1),
        row("b", 1),
        row("slow", 0),
        row("old", 0, "leaving"),
    ]
    status, out, _ = config("apply", tree(MODEL), "--timeout", "300ms")
    assert status == 0
    assert "slow: alive, still at offset 0" in out
    assert "old" not in out


def test_a_log_that_is_down_is_said_so(config, tree, log):
    log.set(outage=True)
    status, _, err = config("apply", tree(MODEL))
    assert status == 1
    assert "nothing done" in err
    log.set(outage=False)


def test_an_outcome_that_cannot_be_learnt_is_unknown(
    config, tree, log, monkeypatch
):
    # The append reaches the log, its answer is lost and the log goes down.
    append = logs.LogClient.append

    def lose(self, stream, data):
        append(self, stream, data)
        log.set(outage=True)
        return logs.AppendUnknown("timed out")

    monkeypatch.setattr(logs.LogClient, "append", lose)
    status, out, _ = config("apply", tree(MODEL), "--settle", "500ms")
    assert status == 3
    assert "\nunknown: " in out


def test_fields_are_set_and_paths_deleted(config):
    assert config("set", "models/m", "version=1", "floor=3")[0] == 0
    assert config("set", "models/m", "floor=")[0] == 0
    assert config("get", "models/m")[1].splitlines()[:2] == [
        "[models/m]",
        "version = 1",
    ]
    assert config("set", "models/m", "--delete")[0] == 0
    assert config("get", "models/m")[0] == 1
    assert config("set", "services/x", "timeout_ms=1")[0] == 2
    assert config("set", "models/m", "version")[0] == 2


def test_all_output_fits_forty_columns(config, tree, monkeypatch):
    monkeypatch.setenv("COLUMNS", "40")
    directory = tree(MODEL + "[models/a-rather-long-name]\nversion = 1\n")
    outputs = [
        config("diff", directory)[1],
        config("apply", directory)[1],
        config("tree")[1],
        config("history")[1],
        config("get", "models/draft")[1],
    ]
    lines = [line for out in outputs for line in out.splitlines()]
    assert max(map(len, lines)) <= 40


@pytest.mark.parametrize("deployment", ["dk-east", "hokkaido-west"])
def test_the_example_trees_load_whole(config, deployment, log):
    directory = str(EXAMPLES / deployment / "configuration")
    declared = declarations.read_directory(directory)
    kinds = [item.path.partition("/")[0] for item in declared]
    assert kinds.count("organisations") == 10
    digests = {
        item.value["token_digest"]
        for item in declared
        if item.path.startswith("organisations/")
    }
    token = b"demo-token-storkoekken-kaeden"
    if deployment == "dk-east":
        assert hashlib.blake2b(token, digest_size=16).hexdigest() in digests
    teams = team_types.Teams(
        (team_types.Team("all", (KEY,), tuple(set(kinds))),)
    )
    change = records.Change(
        id="1",
        author="all",
        operator="",
        base=0,
        expects={item.path: 0 for item in declared},
        sets={item.path: dict(item.value) for item in declared},
    )
    log.stream(records.STREAM).append(records.encode(change, teams.sign))
    reader = readers.ConfigurationReader(
        logs.LogClient(log.address),
        teams,
        connections.Identity("agent", "a"),
        b"key",
    )
    reader.start()
    waiting.until(lambda: reader.offset() == 1)
    reader.stop()
    assert reader.counters.values_not_understood == 0
    view = reader.view()
    assert set(view.organisations) and set(view.endpoints) and view.weights


def test_declarations_with_lists_are_unchanged_after_their_apply(config):
    directory = str(EXAMPLES / "dk-east" / "configuration")
    paths = "organisations, models, endpoints, services, policies, cells"
    teams = ("--set", f"team night-desk.paths={paths}, platform", "--json")
    report = json.loads(config("apply", directory, *teams)[1])
    assert report["outcome"]["outcome"] == "accepted"
    assert report["agents"]["reached"] == ["a", "b"]
    report = json.loads(config("diff", directory, *teams)[1])
    assert report["plan"]["steps"] == []


def test_a_tree_is_begun_anew_once_the_log_has_lost_it(config, tree, log):
    # A whole deployment was off for longer than the log keeps records.  Its
    # agents have no tree and must not act on an empty one; the operator
    # applies the declarations again.
    config("apply", tree(MODEL))
    stream = log.stream(records.STREAM)
    with stream.changed:
        stream.records.clear()
    assert config("apply", tree(MODEL))[0] == 1
    status, out, _ = config("apply", tree(MODEL), "--start-over")
    assert (status, "accepted at offset 2" in out) == (0, True)
    assert config("apply", tree(MODEL), "--start-over")[0] == 2
    assert config("get", "models/draft")[0] == 0


def test_a_replaced_key_still_proves_older_records(write, valid):
    # A team's key is replaced while the log holds changes made with the
    # old one; agents that start later must still believe those.
    old = team_types.from_settings(settings.load(write(valid)).teams)
    proof = old.sign("night-desk", b"record")
    keys = f"key = 0000000000000000\nold_key = {KEY.decode()}"
    text = valid.replace(f"key = {KEY.decode()}", keys)
    new = team_types.from_settings(settings.load(write(text)).teams)
    assert new.verifies("night-desk", b"record", proof)
    assert new.sign("night-desk", b"record") != proof
