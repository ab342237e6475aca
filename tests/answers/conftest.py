from __future__ import annotations

import typing

import pytest

from briarseam import settings
from briarseam.testing import deployment
from briarseam.testing import engine_switches

GRACE_S = 0.5
SLOW_ENGINE = engine_switches.Switches(
    prefill_s_per_piece=0.02, token_s=0.02, load_lag_ms=50
)


class Deployment(deployment.Deployment):
    """A deployment with a short grace time for runs."""

    def write_settings(self, *args: typing.Any) -> settings.Settings:
        """Shorten the times that tests wait for."""
        path = super().write_settings(*args).path
        overrides = [
            settings.ValueOverride("entry", "resume_grace_s", f"{GRACE_S}s"),
            settings.ValueOverride("entry", "engine_silence_ms", "1s"),
        ]
        return settings.load(path, overrides)


@pytest.fixture
def running(tmp_path) -> typing.Iterator[Deployment]:
    shape = deployment.Shape(instances=2, engines=2)
    with Deployment(tmp_path, shape, SLOW_ENGINE) as started:
        yield started
