from __future__ import annotations

import os
import pathlib
import subprocess
import sys
import typing

import pytest

from tests import known_red

VALID = """\
[instance]
name = cph-1
zone = cph-hall-a
region = dk-east
agent_address = 127.0.0.1:7001
entry_addresses = 127.0.0.1:8001, 127.0.0.1:8002

[agent]
listen = 127.0.0.1:7001
shared_key = 0123456789abcdef
heartbeat_interval_ms = 250ms

[entry]
listen = 127.0.0.1:8001
agent = 127.0.0.1:7001
max_body_bytes = 64KiB

[platform]
log = 127.0.0.1:9001
instances = 127.0.0.1:9002
weights = 127.0.0.1:9003

[team night-desk]
key = fedcba9876543210
paths = models
  organisations/kitchen
"""

SOURCE = pathlib.Path(__file__).parent.parent / "src"
Write = typing.Callable[[str], str]


def pytest_configure(config: pytest.Config) -> None:
    entries = known_red.read(config.rootpath / known_red.FILE_NAME)
    config.pluginmanager.register(known_red.Plugin(config, entries))


@pytest.fixture
def valid() -> str:
    return VALID


@pytest.fixture
def write(tmp_path: pathlib.Path) -> Write:
    def write_file(text: str) -> str:
        path = tmp_path / "cph-1.ini"
        path.write_text(text)
        return str(path)

    return write_file


@pytest.fixture
def start_python() -> typing.Iterator[typing.Callable[..., subprocess.Popen]]:
    """Start interpreters that see the package; end them with the test."""
    started: list[subprocess.Popen] = []
    environment = {**os.environ, "PYTHONPATH": str(SOURCE)}
    environment.pop("PYTHONUNBUFFERED", None)

    def start(*arguments: str, stdin: int | None = None) -> subprocess.Popen:
        process = subprocess.Popen(
            [sys.executable, *arguments],
            stdin=stdin,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env=environment,
        )
        started.append(process)
        return process

    yield start
    for process in started:
        with process:
            process.kill()
