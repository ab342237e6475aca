"""Writing log lines without ever blocking who logs them."""

from __future__ import annotations

import collections
import json
import threading
import time
import typing

# Lines that wait for a slow reader of standard output.
MOST_WAITING = 4000
MOST_WAITING_CHARACTERS = 1_000_000
# Lines a second that are written; an instance at its peak of 100 requests a
# second writes about 120.
MOST_PER_S = 400
CLOSE_WAIT_S = 0.5


class BoundedWriter:
    """A text stream that writes in a thread of its own.

    A reader of standard output that stalls would block the thread that
    answers a caller, and in the end all of them.  Lines beyond the bounds
    are left out and counted, and the count is written as a line.

    Parameters
    ----------
    target
        Where lines go.
    most_waiting, most_per_s
        Bounds on lines that wait, and on lines a second.
    clock
        Seconds.

    Attributes
    ----------
    left_out
        Lines left out since start.
    """

    def __init__(
        self,
        target: typing.TextIO,
        most_waiting: int = MOST_WAITING,
        most_per_s: int = MOST_PER_S,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.target = target
        self.most_waiting = most_waiting
        self.most_per_s = most_per_s
        self.clock = clock
        self.left_out = 0
        self.untold = 0
        self.second = 0
        self.in_second = 0
        self.waiting_characters = 0
        self.waiting: collections.deque[str] = collections.deque()
        self.changed = threading.Condition()
        self.closing = False
        self.thread = threading.Thread(
            target=self.run, name="log-writer", daemon=True
        )

    def start(self) -> None:
        """Begin to write."""
        self.thread.start()

    def write(self, text: str) -> int:
        """Take a line, or leave it out; never blocks."""
        with self.changed:
            if self.may_take():
                self.waiting.append(text)
                self.waiting_characters += len(text)
                self.changed.notify()
            else:
                self.left_out += 1
                self.untold += 1
        return len(text)

    def may_take(self) -> bool:
        """Tell whether the bounds allow one more line."""
        second = int(self.clock())
        if second != self.second:
            self.second = second
            self.in_second = 0
        self.in_second += 1
        return (
            self.in_second <= self.most_per_s
            and len(self.waiting) < self.most_waiting
            and self.waiting_characters < MOST_WAITING_CHARACTERS
        )

    def flush(self) -> None:
        """Do nothing: lines are written as soon as they can be."""

    def isatty(self) -> bool:
        """Tell whether a person reads along."""
        return self.target.isatty()

    def close(self) -> None:
        """Write what waits, for a short time at most."""
        with self.changed:
            self.closing = True
            self.changed.notify()
        self.thread.join(CLOSE_WAIT_S)

    def run(self) -> None:
        """Write lines until closed and empty."""
        while True:
            with self.changed:
                while not self.waiting and not self.closing:
                    self.changed.wait()
                if not self.waiting:
                    return
                text = "".join(self.waiting)
                self.waiting.clear()
                self.waiting_characters = 0
                untold, self.untold = self.untold, 0
            self.put(text, untold)

    def put(self, text: str, untold: int) -> None:
        """Write lines, and how many were left out before them."""
        if untold:
            note = {"event": "log_lines_left_out", "count": untold}
            text = f"{json.dumps(note)}\n{text}"
        try:
            self.target.write(text)
            self.target.flush()
        except (OSError, ValueError):
            # Nobody reads standard output any more; serving goes on.
            self.left_out += text.count("\n")
