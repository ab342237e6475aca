"""Processor time, memory and traffic of the processes under load."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import time

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
UTIME_AT = 11
STIME_AT = 12
RSS_AT = 21


@dataclasses.dataclass(frozen=True)
class Usage:
    """One process during one arm.

    Attributes
    ----------
    name
        As in the file of process ids.
    cpu_share
        Part of one core.
    rss_mb
        Resident memory at the end, in MB.
    """

    name: str
    cpu_share: float
    rss_mb: float


@dataclasses.dataclass(frozen=True)
class Sample:
    """Processor seconds so far, and resident bytes."""

    cpu_s: float
    rss_bytes: int


def read_names(path: str) -> dict[str, int]:
    """Return process ids by name, from lines ``NAME PID``."""
    lines = pathlib.Path(path).read_text().split("\n")
    return {
        name: int(number)
        for name, number in (line.split() for line in lines if line.strip())
    }


def sample(pid: int) -> Sample | None:
    """Return a process's usage; ``None`` when it is gone."""
    try:
        text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return None
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[UTIME_AT]) + int(fields[STIME_AT])
    return Sample(ticks / TICKS_PER_S, int(fields[RSS_AT]) * PAGE_BYTES)


class Watch:
    """Measures processes from its making to :meth:`usages`.

    Parameters
    ----------
    names
        Process ids by name.
    """

    def __init__(self, names: dict[str, int]) -> None:
        self.names = names
        self.started = time.monotonic()
        self.before = {name: sample(pid) for name, pid in names.items()}

    def usages(self) -> tuple[Usage, ...]:
        """Return what each process used."""
        elapsed_s = time.monotonic() - self.started
        found = []
        for name, pid in self.names.items():
            before, after = self.before[name], sample(pid)
            if before is None or after is None:
                continue
            found.append(
                Usage(
                    name,
                    round((after.cpu_s - before.cpu_s) / elapsed_s, 4),
                    round(after.rss_bytes / 1e6, 1),
                )
            )
        return tuple(found)
