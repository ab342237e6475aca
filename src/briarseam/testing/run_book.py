"""All runs that a stand-in engine has been given since its boot."""

from __future__ import annotations

import collections
import threading

from briarseam.testing import engine_runs

KEPT_RUNS = 2000
"""Runs whose streams can be resumed; ended ones beyond it are dropped."""


class RunBook:
    """The run ids seen, and the runs that can still be followed."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.starts: collections.Counter[str] = collections.Counter()
        self.runs: dict[str, engine_runs.Run] = {}

    def add(self, run: engine_runs.Run) -> bool:
        """Note a run.

        Parameters
        ----------
        run
            The run.

        Returns
        -------
        bool
            Whether its id is new; otherwise it must not be started.
        """
        run_id = run.request.run_id
        with self.lock:
            if run_id in self.starts:
                return False
            self.starts[run_id] = 1
            self.runs[run_id] = run
            self.drop_ended()
            return True

    def seen(self, run_id: str) -> bool:
        """Tell whether a run id was used.

        Parameters
        ----------
        run_id
            The run id.

        Returns
        -------
        bool
            Whether a run was started under it.
        """
        with self.lock:
            return run_id in self.starts

    def drop_ended(self) -> None:
        """Drop the oldest ended run of too many; call it under ``lock``."""
        if len(self.runs) <= KEPT_RUNS:
            return
        for run_id, run in self.runs.items():
            if run.phase is engine_runs.Phase.ENDED:
                del self.runs[run_id]
                return

    def find(self, run_id: str) -> engine_runs.Run | None:
        """Find a run.

        Parameters
        ----------
        run_id
            Its id.

        Returns
        -------
        engine_runs.Run or None
            ``None`` when it never was or is long over.
        """
        with self.lock:
            return self.runs.get(run_id)

    def kept(self) -> list[engine_runs.Run]:
        """Return the runs that can be followed.

        Returns
        -------
        list[engine_runs.Run]
            The runs, oldest first.
        """
        with self.lock:
            return list(self.runs.values())

    def counts(self) -> dict[str, int]:
        """Count the starts of each run id.

        Returns
        -------
        dict[str, int]
            Starts by run id.
        """
        with self.lock:
            return dict(self.starts)
