from __future__ import annotations

import json

import pytest

from briarseam import run
from briarseam.testing import deployment
from briarseam.testing import waiting
from briarseam.timeline import messages


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    folder = tmp_path_factory.mktemp("deployment")
    with deployment.Deployment(folder, deployment.Shape()) as started:
        yield started


@pytest.fixture(scope="module")
def answer(running):
    return running.caller().ask(deployment.prompt_body("a short prompt"))


@pytest.fixture
def show(running, answer, capsys):
    """Run the command; return its exit status and output."""

    def execute(*arguments):
        settings = running.instances[0].settings.path
        status = run.run(["timeline", "--settings", settings, *arguments])
        return status, capsys.readouterr().out

    return execute


def test_request_is_shown_as_text(show, answer):
    # A caller quotes the name of its request.
    name = answer.headers["X-Request-Id"]
    status, out = show("--request", name)
    assert status == 0
    assert "accepted" in out
    assert "granted" in out
    assert f"of request {name}" in out


def test_narrow_stays_in_40_columns(show):
    # The same on a phone.
    status, out = show("--narrow")
    assert status == 0
    assert max(map(len, out.splitlines())) <= 40


def test_json_is_for_programs(show, answer):
    # A script reads the events.
    status, out = show("--request", answer.answer_id, "--json")
    assert status == 0
    kinds = [event["kind"] for event in json.loads(out)["events"]]
    assert kinds[0] == "accepted"


def test_path_is_shown(show, running):
    # An operator asks what became of a change.
    path = f"models/{deployment.MODEL}"
    running.publish({path: {"version": deployment.VERSION, "floor": 1}})
    running_offset = running.fold.offset
    reader = running.instances[0].agent.configuration
    waiting.until(lambda: reader.offset() >= running_offset)
    status, out = show("--path", "models")
    assert status == 0
    assert "configuration" in out


def test_endpoint_is_shown(show, running, answer):
    # An operator asks what an endpoint was given.  Which engine runs the
    # one prompt is routing's choice, so the engines are asked for it.
    assert answer.done
    used = [
        name for name, engine in running.engines.items() if engine.book.starts
    ]
    status, out = show("--endpoint", used[0])
    assert status == 0
    assert "granted" in out


def test_page_is_written(show, tmp_path):
    # The page is sent to a colleague.
    page = tmp_path / "page.html"
    status, out = show("--html", str(page))
    assert status == 0
    assert "written to" in out
    assert page.read_text().startswith("<!doctype html>")


def test_page_that_cannot_be_written_is_an_error(show, tmp_path):
    # A mistyped folder.
    status, _ = show("--html", str(tmp_path / "none" / "page.html"))
    assert status == 1


def test_entry_that_is_away_is_an_error(show):
    # The operator asks an instance that is down.
    status, out = show("--entry", "127.0.0.1:1")
    assert status == 3
    assert out == ""


def test_missing_process_shows_in_the_exit_status(show, running):
    # A script must not take half a time line for the whole.
    others = messages.Events((), (messages.Source("b", error="cut off"),))
    feeds = running.instances[0].agent.timeline.entries
    collect = feeds.collect
    feeds.collect = lambda *args: [others]
    try:
        status, out = show()
    finally:
        feeds.collect = collect
    assert status == 4
    assert "b is missing: cut off" in out
