from __future__ import annotations

import os
import signal

import pytest

from briarseam import command
from briarseam import run

COMMANDS = [item.name for item in command.COMMANDS]


def test_help_lists_every_subcommand(capsys):
    assert run.run(["--help"]) == 0
    shown = capsys.readouterr().out
    for item in command.COMMANDS:
        assert item.name in shown


@pytest.mark.parametrize("name", COMMANDS)
def test_every_subcommand_has_help(name, capsys):
    assert run.run([name, "--help"]) == 0
    assert f"briarseam {name}" in capsys.readouterr().out


@pytest.mark.parametrize(
    "argv", [[], ["serve"], ["settings"], ["--loud"]], ids=" ".join
)
def test_bad_usage_leaves_with_2_and_says_so(argv, capsys):
    assert run.run(argv) == 2
    assert "usage: briarseam" in capsys.readouterr().err


def test_interrupt_leaves_without_a_traceback(monkeypatch, capsys):
    def interrupt(_arguments):
        raise KeyboardInterrupt

    monkeypatch.setattr(command, "execute", interrupt)
    assert run.run([]) == 130
    assert capsys.readouterr().err == ""


@pytest.mark.parametrize("name", ["help", "listing"])
def test_a_reader_that_leaves_early_sees_no_traceback(
    start_python, write, valid, name
):
    """An operator pipes a listing into `head`; after its lines a traceback
    fills the small screen. The pipe is closed before the listing is written,
    and the interpreter flushes standard output once more as it exits.
    """
    listing = ["settings", "check", write(valid)]
    argv = listing if name == "listing" else ["--help"]
    process = start_python("-m", "briarseam", *argv)
    process.stdout.close()
    assert process.stderr.read() == b""
    assert process.wait() == 141


def test_help_loads_no_http_server(start_python):
    code = (
        "import sys; from briarseam import run; run.run(['--help']);"
        "sys.exit('cherrypy' in sys.modules)"
    )
    process = start_python("-c", code)
    assert process.communicate()[1] == b""
    assert process.returncode == 0


@pytest.mark.parametrize("daemon", ["serve", "agent", "entry"])
def test_signal_to_reload_before_the_settings_are_read_ends_no_daemon(
    start_python, tmp_path, daemon
):
    """A process is started again, and its settings change as it starts.

    SIGHUP comes before its handler stands.  The settings are a pipe here,
    so that the process waits in reading them.
    """
    settings = tmp_path / "settings.ini"
    os.mkfifo(settings)
    process = start_python(
        "-m", "briarseam", daemon, "--settings", str(settings)
    )
    with settings.open("w") as writing:
        process.send_signal(signal.SIGHUP)
        writing.write("no settings")
    assert process.wait() == 2
