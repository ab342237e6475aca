from __future__ import annotations

import contextlib

import pytest
from tests.orders import deployment as deployments


@pytest.fixture
def deployment():
    with contextlib.ExitStack() as stack:
        yield deployments.Deployment(stack)
