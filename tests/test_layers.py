"""The order of import: no arrow leads up, none leads in a circle."""

from __future__ import annotations

import ast
import collections
import dataclasses
import graphlib
import pathlib
import typing

import pytest

PACKAGE = "briarseam"
SOURCE = pathlib.Path(__file__).parents[1] / "src" / PACKAGE

# From the top down.  A name stands for a slice or a module and for all
# within it that has no name of its own here; the longest name counts.
LAYERS = {
    "programs": (
        "__main__",
        "bench",
        "command",
        "run",
        "testing",
    ),
    "compose": ("compose",),
    "edges": (
        "delays",
        "entry",
        "platform",
        "status",
        "timeline",
    ),
    "decisions": (
        "admission",
        "answers",
        "crashes",
        "forwarding",
        "lookup",
        "orders",
        "origins",
        "placement",
        "queueing",
        "routing",
        "weights",
    ),
    "state": (
        "admission.state",
        "cache",
        "claims",
        "configuration",
        "discovery",
        "eligibility",
        "feeds",
        "leases",
        "membership",
        "orders.goals",
        "orders.state",
        "origins.memory",
        "peers",
        "placement.loads",
        "placement.residency",
        "placement.store_index",
        "placement.work_notices",
        "prediction",
        "reachability",
        "routes",
        "routing.active_runs",
        "routing.loads",
        "routing.prefixes",
        "routing.state",
        "weights.engine_weights",
        "weights.goals",
    ),
    "values": (
        "",
        "admission.answer_id",
        "admission.crash_messages",
        "admission.messages",
        "admission.refusals",
        "allocator",
        "backing",
        "backoff",
        "bounded_http",
        "bounded_reads",
        "bounded_requests",
        "changes",
        "claims.records",
        "clients",
        "clocks",
        "configuration.records",
        "configuration.values",
        "connection_threads",
        "discovery.announcements",
        "discovery.model",
        "discovery.starts",
        "endpoints",
        "feeds.records",
        "forwarding.calls",
        "forwarding.outcomes",
        "http_heads",
        "inflight",
        "leases.outcomes",
        "leases.records",
        "loading",
        "log_writer",
        "logs",
        "lookup.messages",
        "lookup.rank",
        "malformed",
        "membership.messages",
        "membership.state",
        "metrics",
        "orders.messages",
        "polling",
        "repeating",
        "resets",
        "routes.model",
        "settings",
        "sockets",
        "suspension",
        "status.messages",
        "tokens",
        "transfers",
        "turns",
        "verdict",
        "wire",
        "worker_threads",
        "wrapping",
    ),
}
DEPTHS = {name: depth for depth, name in enumerate(LAYERS)}
LAYER_OF = {name: layer for layer, names in LAYERS.items() for name in names}


@dataclasses.dataclass(frozen=True, order=True)
class Arrow:
    """One module imports another; both named within the package."""

    importer: str
    imported: str


# Wrong arrows that are left, by exact pair; docs/design/one-core.md says
# how each ends.  None may be added: mend the import instead.
KNOWN_UP = frozenset({Arrow("forwarding.server", "entry.server")})
KNOWN_IN_CIRCLES = frozenset(
    {
        Arrow("placement.chooser", "forwarding.calls"),
        Arrow("placement.cost", "forwarding.calls"),
        Arrow("placement.kept", "forwarding.calls"),
        Arrow("placement.requests", "forwarding.calls"),
    }
)
Graph = typing.Mapping[str, typing.AbstractSet[str]]


def modules_of(source: pathlib.Path) -> dict[str, pathlib.Path]:
    """Return the files by module name; a package by that of its folder."""
    found = {}
    for path in sorted(source.rglob("*.py")):
        parts = path.relative_to(source).with_suffix("").parts
        if parts[-1] == "__init__":
            parts = parts[:-1]
        found[".".join(parts)] = path
    return found


def named_by(
    node: ast.AST, importer: str, is_package: bool
) -> typing.Iterator[str]:
    """Yield the full names that an import statement may mean.

    Each of ``from a.b import c`` is a module, ``a.b.c``, or something in
    the module ``a.b``.
    """
    if isinstance(node, ast.Import):
        yield from (alias.name for alias in node.names)
    elif isinstance(node, ast.ImportFrom):
        base = node.module or ""
        if node.level:
            parts = [PACKAGE, *importer.split(".")]
            up = node.level - is_package
            kept = parts[: len(parts) - up]
            base = ".".join([*kept, base] if base else kept)
        yield from (f"{base}.{alias.name}" for alias in node.names)


def arrows_of(source: pathlib.Path) -> list[Arrow]:
    """Return all imports within the package, wherever they stand.

    Those under ``TYPE_CHECKING`` and in functions count as well: a reader
    has to know the imported module all the same.
    """
    modules = modules_of(source)
    found = set()
    for importer, path in modules.items():
        is_package = path.name == "__init__.py"
        for node in ast.walk(ast.parse(path.read_text())):
            for name in named_by(node, importer, is_package):
                imported = module_in(name, modules)
                if imported is not None and imported != importer:
                    found.add(Arrow(importer, imported))
    return sorted(found)


def module_in(name: str, modules: typing.Container[str]) -> str | None:
    """Return the module that a full name is or lies in, if it is ours."""
    top, _, rest = name.partition(".")
    if top != PACKAGE:
        return None
    while rest and rest not in modules:
        rest = rest.rpartition(".")[0]
    return rest


def layer_of(module: str) -> str | None:
    """Return a module's layer, by the longest name that is listed."""
    name = module
    while name not in LAYER_OF:
        if not name:
            return None
        name = name.rpartition(".")[0]
    if not name and module:
        return None
    return LAYER_OF[name]


def leads_up(arrow: Arrow) -> bool:
    """Tell whether a module imports one of a layer above its own."""
    importer = layer_of(arrow.importer)
    imported = layer_of(arrow.imported)
    assert importer is not None
    assert imported is not None
    return DEPTHS[imported] < DEPTHS[importer]


def slice_of(module: str) -> str:
    """Return the folder that a module lies in, or the module itself."""
    return module.partition(".")[0]


def graph_of(
    arrows: typing.Iterable[Arrow], name_of: typing.Callable[[str], str]
) -> Graph:
    """Return who imports whom, under the names that are wanted."""
    graph = collections.defaultdict(set)
    for arrow in arrows:
        importer = name_of(arrow.importer)
        imported = name_of(arrow.imported)
        if importer != imported:
            graph[importer].add(imported)
    return graph


def circle_in(graph: Graph) -> list[str]:
    """Return one circle, its first name again at its end; or nothing."""
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as error:
        return list(error.args[1])
    return []


@pytest.fixture(scope="module")
def arrows() -> list[Arrow]:
    return arrows_of(SOURCE)


def test_every_module_has_a_layer():
    """Somebody adds a slice and lists it nowhere; its imports would be
    checked against nothing.
    """
    modules = modules_of(SOURCE)
    assert [name for name in modules if layer_of(name) is None] == []
    assert [name for name in LAYER_OF if name not in modules] == []


def test_no_import_leads_up(arrows):
    """A decision imports an adapter for one of its names.  From then on the
    adapter can't change without it, and can't be left out.
    """
    wrong = [arrow for arrow in arrows if leads_up(arrow)]
    assert [arrow for arrow in wrong if arrow not in KNOWN_UP] == []
    assert [arrow for arrow in sorted(KNOWN_UP) if arrow not in wrong] == []


def test_no_modules_import_each_other_in_a_circle(arrows):
    """Four modules of one slice import each other.  None can be read or
    tested without the other three.
    """
    assert circle_in(graph_of(arrows, str)) == []


def test_no_slices_import_each_other_in_a_circle(arrows):
    """A slice imports messages of one that imports its data.  Neither can
    be changed, moved or replaced by itself.
    """
    known = KNOWN_IN_CIRCLES
    rest = [arrow for arrow in arrows if arrow not in known]
    assert circle_in(graph_of(rest, slice_of)) == []


@pytest.mark.parametrize("arrow", sorted(KNOWN_IN_CIRCLES), ids=str)
def test_known_arrow_still_closes_a_circle(arrows, arrow):
    """A wrong import was mended, and its pair stays listed: it could come
    back unseen.
    """
    others = KNOWN_IN_CIRCLES - {arrow}
    rest = [found for found in arrows if found not in others]
    assert circle_in(graph_of(rest, slice_of))


# What the checks are made of, on trees with one wrong import each.


@pytest.fixture
def write(tmp_path):
    def write_tree(**texts: str) -> pathlib.Path:
        for name, text in texts.items():
            path = tmp_path / f"{name.replace('__', '/')}.py"
            path.parent.mkdir(exist_ok=True)
            (path.parent / "__init__.py").touch()
            path.write_text(text)
        return tmp_path

    return write_tree


@pytest.mark.parametrize(
    "text",
    [
        pytest.param("from briarseam.entry import app", id="module"),
        pytest.param("from briarseam.entry.app import App", id="name"),
        pytest.param("import briarseam.entry.app", id="whole"),
        pytest.param("import briarseam.entry.app as app", id="renamed"),
        pytest.param("from ..entry import app", id="relative"),
        pytest.param("from ..entry.app import App", id="relative-name"),
        pytest.param(
            "if typing.TYPE_CHECKING:\n    from briarseam.entry import app",
            id="type-checking",
        ),
        pytest.param(
            "def f():\n    from briarseam.entry import app", id="function"
        ),
    ],
)
def test_import_is_read_in_each_form(write, text):
    source = write(entry__app="class App: ...", routing__state=text)
    (arrow,) = arrows_of(source)
    assert arrow == Arrow("routing.state", "entry.app")
    assert leads_up(arrow)


def test_import_of_a_package_and_of_others_is_read(write):
    source = write(
        entry__app="import ast\nfrom pathlib import Path",
        compose__entry="from briarseam import entry\nfrom briarseam import x",
    )
    assert arrows_of(source) == [
        Arrow("compose.entry", ""),
        Arrow("compose.entry", "entry"),
    ]


def test_circle_within_a_slice_is_found(write):
    source = write(
        routing__state="from briarseam.routing import loads",
        routing__loads="from briarseam.routing import state",
    )
    circle = circle_in(graph_of(arrows_of(source), str))
    assert set(circle) == {"routing.state", "routing.loads"}


def test_circle_between_slices_is_found(write):
    """No two modules import each other, but their slices do."""
    source = write(
        routing__state="from briarseam.orders import state",
        orders__goals="from briarseam.routing import loads",
        orders__state="",
        routing__loads="",
    )
    found = arrows_of(source)
    assert circle_in(graph_of(found, str)) == []
    assert set(circle_in(graph_of(found, slice_of))) == {"routing", "orders"}


@pytest.mark.parametrize(
    ("importer", "imported", "up"),
    [
        ("routing.service", "entry.app", True),
        ("entry.app", "routing.service", False),
        ("routing.loads", "routing.service", True),
        ("routing.service", "routing.loads", False),
        ("membership.state", "membership.table", True),
        ("verdict", "membership.state", False),
        ("platform.store", "compose.node", True),
    ],
)
def test_arrow_that_leads_up_is_told_from_others(importer, imported, up):
    assert leads_up(Arrow(importer, imported)) is up


def test_module_of_no_layer_is_found():
    assert layer_of("unlisted.state") is None
    assert layer_of("orders.goals") == "state"
    assert layer_of("orders.planner") == "decisions"
