from __future__ import annotations

import pytest

from tests.cache import site as sites


@pytest.fixture
def make_site():
    """Return a function that starts sites, which are stopped at the end."""
    made = []

    def make(*args, **kwargs):
        site = sites.Site(*args, **kwargs)
        made.append(site)
        return site

    yield make
    for site in made:
        site.stop()


@pytest.fixture
def site(make_site):
    """A site with one engine and one store."""
    return make_site()
