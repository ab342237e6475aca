from __future__ import annotations

import io
import json
import logging

import pytest
import structlog

from briarseam import logs
from briarseam import settings


@pytest.fixture(autouse=True)
def restored():
    root = logging.getLogger()
    handlers, level = root.handlers, root.level
    yield
    root.handlers = handlers
    root.setLevel(level)
    structlog.reset_defaults()


def test_json_lines_carry_level_time_process_and_fields():
    stream = io.StringIO()
    logs.set_up(settings.Logging(), "agent cph-1", stream)
    structlog.get_logger().info("peer lost", peer="cph-2")
    line = json.loads(stream.getvalue())
    assert line.pop("timestamp").endswith("Z")
    assert line == {
        "event": "peer lost",
        "level": "info",
        "peer": "cph-2",
        "process": "agent cph-1",
    }


def test_lines_below_the_level_are_left_out():
    stream = io.StringIO()
    logs.set_up(settings.Logging(level="warning"), "agent", stream)
    structlog.get_logger().info("peer lost")
    assert stream.getvalue() == ""


@pytest.mark.parametrize("library", [True, False], ids=["library", "own"])
def test_an_exception_stays_on_one_json_line(library):
    stream = io.StringIO()
    logs.set_up(settings.Logging(), "entry", stream)
    logger = logging.getLogger("lib") if library else structlog.get_logger()
    try:
        raise OSError("link cut")
    except OSError:
        logger.exception("relay failed")
    (line,) = stream.getvalue().splitlines()
    parsed = json.loads(line)
    assert parsed["process"] == "entry"
    assert "OSError: link cut" in parsed["exception"]


def test_console_lines_are_for_reading():
    stream = io.StringIO()
    logs.set_up(settings.Logging(format="console"), "entry", stream)
    structlog.get_logger().warning("peer lost", peer="cph-2")
    assert "peer lost" in stream.getvalue()
    assert "peer=cph-2" in stream.getvalue()
    assert "\x1b" not in stream.getvalue()


def test_long_texts_are_cut():
    """Guards against lines as long as the ids that clients choose."""
    stream = io.StringIO()
    logs.set_up(settings.Logging(), "entry", stream)
    structlog.get_logger().info("refused", request="r" * 16_000)
    line = json.loads(stream.getvalue())
    assert len(line["request"]) == logs.MAX_CHARACTERS + len(logs.CUT)
