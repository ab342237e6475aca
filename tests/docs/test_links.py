"""The pages' links to one another."""

from __future__ import annotations

import pathlib
import re
import urllib.parse

import pytest

ROOT = pathlib.Path(__file__).parents[2]
PAGES = sorted([ROOT / "README.md", *(ROOT / "docs").rglob("*.md")])
LINK = re.compile(r"\[[^\]]*\]\(\s*<?([^)\s>]+)>?[^)]*\)")
FENCE = re.compile(r"^ *```.*?^ *```", re.MULTILINE | re.DOTALL)
HEADING = re.compile(r"^#+ +(.+?) *$", re.MULTILINE)
NOT_IN_ANCHOR = re.compile(r"[^\w\- ]")


def text_of(page: pathlib.Path) -> str:
    return FENCE.sub("", page.read_text())


def anchors(page: pathlib.Path) -> set[str]:
    return {
        NOT_IN_ANCHOR.sub("", heading.lower()).replace(" ", "-")
        for heading in HEADING.findall(text_of(page))
    }


def problems(page: pathlib.Path) -> list[str]:
    found = []
    for link in LINK.findall(text_of(page)):
        parts = urllib.parse.urlsplit(link)
        if parts.scheme:
            continue
        path = urllib.parse.unquote(parts.path)
        target = page.parent / path if path else page
        if not target.exists():
            found.append(f"{link}: no such file")
        elif parts.fragment and parts.fragment not in anchors(target):
            found.append(f"{link}: no such heading")
    return found


@pytest.mark.parametrize(
    "page", PAGES, ids=[str(page.relative_to(ROOT)) for page in PAGES]
)
def test_links_of_a_page_lead_somewhere(page: pathlib.Path) -> None:
    # Somebody woken at night follows a link of the operators' pages and
    # finds nothing: the page was renamed, or was named before it was
    # written.
    assert problems(page) == []


def test_index_names_every_page() -> None:
    # A page that the index leaves out is found by nobody who does not
    # know its name already.  Changelog fragments are listed as a folder.
    index = (ROOT / "docs" / "index.md").read_text()
    listed = {(ROOT / "docs" / link).resolve() for link in LINK.findall(index)}
    pages = {
        page
        for page in PAGES
        if page.parent.name != "changelog" and page.name != "README.md"
    }
    pages.discard(ROOT / "docs" / "index.md")
    assert {str(page.relative_to(ROOT)) for page in pages - listed} == set()
