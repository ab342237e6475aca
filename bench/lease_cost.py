"""What leases cost the log, and how long one stays with a lost holder.

Measured by ``rollout.py``.
"""

from __future__ import annotations

import contextlib
import dataclasses
import time

from briarseam.backing import log as platform_log
from briarseam.leases import outcomes
from briarseam.leases import service as leases_service
from briarseam.testing import log_service
from briarseam.testing import waiting

# Longest wait for a lease, in seconds.
WAIT_S = 120.0
LEASE_RUN_S = 12.0
LEASE_TTL_S = 6.0
LOST_TTL_S = 3.0


@dataclasses.dataclass(frozen=True)
class LeaseRow:
    """Holders that only renew."""

    holders: int
    leases_each: int
    appends_per_s: float
    bytes_per_s: float


@dataclasses.dataclass(frozen=True)
class LostRow:
    """A holder that stops without giving its lease back."""

    ttl_s: float
    seconds_without_holder: float


def measure_leases(holders: int, leases_each: int) -> LeaseRow:
    """Return what holding leases costs the log."""
    with contextlib.ExitStack() as stack:
        log = stack.enter_context(log_service.LogService())
        found = []
        for number in range(holders):
            leases = leases_service.Leases(
                platform_log.LogClient(log.address),
                f"holder-{number}",
                LEASE_TTL_S,
            )
            leases.start()
            stack.callback(leases.stop)
            for lease in range(leases_each):
                name = f"lease-{number}-{lease}"
                waiting.until(
                    lambda one=leases, wanted=name: isinstance(
                        one.acquire(wanted), outcomes.Held
                    ),
                    WAIT_S,
                )
            found.append(leases)
        stream = log.stream(leases_service.STREAM)
        began, count = time.monotonic(), len(stream.records)
        time.sleep(LEASE_RUN_S)
        took_s = time.monotonic() - began
        records = stream.records[count:]
        assert all(len(one.held()) == leases_each for one in found)
        return LeaseRow(
            holders,
            leases_each,
            round(len(records) / took_s, 2),
            round(sum(len(one.content) for one in records) / took_s, 1),
        )


def measure_lost() -> LostRow:
    """Return how long a lease stays with a holder that is gone."""
    with log_service.LogService() as log:
        first, second = (
            leases_service.Leases(
                platform_log.LogClient(log.address), name, LOST_TTL_S
            )
            for name in ("first", "second")
        )
        first.start()
        second.start()
        waiting.until(
            lambda: isinstance(first.acquire("x"), outcomes.Held), WAIT_S
        )
        # Lost as a killed process is: no renewal, no release.
        first.stopping.set()
        first.follower.stop()
        began = time.monotonic()
        waiting.until(
            lambda: isinstance(second.acquire("x"), outcomes.Held), WAIT_S
        )
        took_s = time.monotonic() - began
        second.stop()
        return LostRow(LOST_TTL_S, round(took_s, 2))
