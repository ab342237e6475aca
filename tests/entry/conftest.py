from __future__ import annotations

import pytest

from briarseam.testing import deployment


@pytest.fixture(scope="session")
def running(tmp_path_factory):
    folder = tmp_path_factory.mktemp("entry")
    with deployment.Deployment(folder) as started:
        yield started
