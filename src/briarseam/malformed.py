"""What others wrote that can't be read: one error, one log line, one count.

Records, rows and sections come from other processes, some of them of
another make.  A malformed one is left out, and all others are taken.  Who
leaves one out notes it here.
"""

from __future__ import annotations

import contextlib
import dataclasses
import enum
import threading
import typing

import structlog

from briarseam import clocks

if typing.TYPE_CHECKING:
    import collections.abc

# A writer that goes on writing what can't be read must not fill the log:
# one line for each key within this time, and so many for each kind.
WINDOW_S = 60.0
MOST_LINES = 20
# Keys and details may quote what was written, which may be megabytes.
MOST_CHARACTERS = 120
log = structlog.get_logger("briarseam.malformed")


class MalformedError(Exception):
    """Something that does not have its documented form."""


class Kind(enum.StrEnum):
    """What was malformed."""

    ENDPOINT = "endpoint"
    OPERATOR_DOCUMENT = "operator-document"
    REGISTRATION = "registration"
    STORE_RECORD = "store-record"
    CACHE_ROW = "cache-row"
    CACHE_ANSWER = "cache-answer"
    ENDPOINT_ANSWER = "endpoint-answer"
    ENGINE_REPORT = "engine-report"
    SECTION = "section"
    DATAGRAM = "datagram"
    GOAL_TIMES = "goal-times"


@dataclasses.dataclass
class Window:
    """Lines of one kind within some time.

    Attributes
    ----------
    since_s
        When it began, by the tally's clock.
    keys
        Keys that have had their line.
    """

    since_s: float
    keys: set[str] = dataclasses.field(default_factory=set)


class Tally:
    """Counts what was malformed, and logs some of it; thread-safe.

    Parameters
    ----------
    count
        Called with the kind each time.
    clock
        Seconds.
    """

    def __init__(
        self,
        count: collections.abc.Callable[[Kind], None] = lambda kind: None,
        clock: collections.abc.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.count = count
        self.clock = clock
        self.windows: dict[Kind, Window] = {}
        self.lock = threading.Lock()

    def note(self, kind: Kind, key: str, error: Exception | str) -> None:
        """Note that something was left out.

        Parameters
        ----------
        kind
            What it was.
        key
            Which one.
        error
            What is wrong with it.
        """
        self.count(kind)
        shown = shorten(key)
        if self.may_tell(kind, shown):
            log.warning(
                "malformed",
                kind=kind.value,
                key=shown,
                detail=shorten(str(error)),
            )

    def may_tell(self, kind: Kind, key: str) -> bool:
        """Tell whether a line may be written now."""
        now_s = self.clock()
        with self.lock:
            window = self.windows.get(kind)
            if window is None or now_s - window.since_s >= WINDOW_S:
                window = self.windows[kind] = Window(now_s)
            if key in window.keys or len(window.keys) >= MOST_LINES:
                return False
            window.keys.add(key)
            return True


def shorten(text: str) -> str:
    """Return the beginning of a text."""
    if len(text) <= MOST_CHARACTERS:
        return text
    return f"{text[:MOST_CHARACTERS]}..."


@contextlib.contextmanager
def raised_as_malformed() -> collections.abc.Iterator[None]:
    """Turn what decoding raises into :class:`MalformedError`.

    Beside the errors of the formats these are ``UnicodeDecodeError``, which
    is a ``ValueError`` as well, and ``RecursionError`` for content that is
    nested more deeply than the parser goes.
    """
    try:
        yield
    except (ValueError, RecursionError) as error:
        raise MalformedError(str(error)) from error
