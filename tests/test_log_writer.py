from __future__ import annotations

import io
import json
import threading

from briarseam import log_writer
from briarseam.testing import waiting


class StalledStream(io.StringIO):
    """A stream whose writes wait until it is let go."""

    def __init__(self):
        super().__init__()
        self.let_go = threading.Event()

    def write(self, text):
        self.let_go.wait(10)
        return super().write(text)


def test_stalled_reader_blocks_nobody():
    """The reader of standard output stops reading.  The pipe fills, and
    each thread that logs a line would wait for it, callers and all.
    """
    target = StalledStream()
    writer = log_writer.BoundedWriter(
        target, most_waiting=50, most_per_s=10**6
    )
    writer.start()
    line = "x" * 999 + "\n"
    logging = threading.Thread(
        target=lambda: [writer.write(line) for _ in range(1000)], daemon=True
    )
    logging.start()
    logging.join(10)
    assert not logging.is_alive()
    assert writer.left_out > 0
    target.let_go.set()
    writer.close()


def test_lines_left_out_are_counted_in_a_line():
    target = io.StringIO()
    writer = log_writer.BoundedWriter(target, most_per_s=2, clock=lambda: 1.0)
    for number in range(5):
        writer.write(f"{number}\n")
    writer.start()
    waiting.until(lambda: target.getvalue().endswith("1\n"))
    first, *lines = target.getvalue().splitlines()
    assert json.loads(first) == {"event": "log_lines_left_out", "count": 3}
    assert lines == ["0", "1"]
    writer.close()


def test_lines_that_wait_are_written_at_the_end():
    target = io.StringIO()
    writer = log_writer.BoundedWriter(target)
    writer.write("last words\n")
    writer.start()
    writer.close()
    assert target.getvalue() == "last words\n"


def test_closed_standard_output_ends_nothing():
    target = io.StringIO()
    target.close()
    writer = log_writer.BoundedWriter(target)
    writer.start()
    writer.write("unheard\n")
    writer.close()
    assert writer.left_out == 1


def test_long_lines_that_wait_are_bounded_in_characters():
    """Guards against memory that grows with texts of clients."""
    writer = log_writer.BoundedWriter(io.StringIO(), most_per_s=10**6)
    for _ in range(1000):
        writer.write("x" * 10_000)
    waiting_characters = sum(map(len, writer.waiting))
    assert waiting_characters <= log_writer.MOST_WAITING_CHARACTERS + 10_000
    assert writer.left_out > 0
