"""``briarseam config``: show and change the configuration on the log."""

from __future__ import annotations

import getpass
import sys
import typing

from briarseam import tokens
from briarseam.backing import instances
from briarseam.backing import log as logs
from briarseam.command import config_options
from briarseam.command import config_session
from briarseam.command import help_format
from briarseam.command import options
from briarseam.configuration import declarations
from briarseam.configuration import fold as folds
from briarseam.configuration import following
from briarseam.configuration import history
from briarseam.configuration import loading
from briarseam.configuration import plans
from briarseam.configuration import publish
from briarseam.configuration import records
from briarseam.configuration import schema
from briarseam.configuration import snapshots
from briarseam.configuration import teams as team_types

if typing.TYPE_CHECKING:
    import argparse


EXIT_ACCEPTED = 0
EXIT_REJECTED = 1
EXIT_BAD_INPUT = 2
EXIT_UNKNOWN = 3
HISTORY_SHOWN = 20


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the subcommand's actions."""
    actions = parser.add_subparsers(metavar="ACTION", required=True)
    add_reading(actions)
    add_changing(actions)


def add_reading(actions: typing.Any) -> None:
    """Add the actions that only read."""
    found = add_action(actions, "get", get, "show one path")
    config_options.add_path(found)
    found = add_action(actions, "tree", tree, "show all paths")
    config_options.add_prefix(found)
    found = add_action(
        actions, "diff", diff, "show what apply would change, publish nothing"
    )
    config_options.add_directory(found)
    config_options.add_author(found)
    config_options.add_since(found)
    found = add_action(actions, "history", show_history, "show past changes")
    config_options.add_prefix(found)
    found.add_argument(
        "--last",
        metavar="N",
        type=int,
        default=HISTORY_SHOWN,
        help="show the newest N changes",
    )


def add_changing(actions: typing.Any) -> None:
    """Add the actions that publish."""
    found = add_action(
        actions, "apply", apply, "make a team's subtree what DIR declares"
    )
    config_options.add_directory(found)
    found.add_argument(
        "--start-over",
        action="store_true",
        help="begin with an empty tree where the log has lost its history",
    )
    config_options.add_since(found)
    config_options.add_publishing(found)
    found = add_action(actions, "set", set_fields, "set or delete one path")
    config_options.add_path(found)
    config_options.add_fields(found)
    found.add_argument("--delete", action="store_true", help="delete PATH")
    config_options.add_publishing(found)


def add_action(
    actions: typing.Any,
    name: str,
    action: typing.Callable[[config_session.Session], int],
    summary: str,
) -> argparse.ArgumentParser:
    """Add one action with the options that all have."""
    found: argparse.ArgumentParser = actions.add_parser(
        name,
        help=summary,
        description=f"{summary[0].upper()}{summary[1:]}.",
        formatter_class=help_format.HelpFormatter,
        allow_abbrev=False,
    )
    found.set_defaults(action=action)
    options.add_settings(found)
    options.add_output(found)
    return found


def execute(args: argparse.Namespace) -> int:
    """Carry out one action and return its exit status."""
    action: typing.Callable[[config_session.Session], int] = args.action
    try:
        return action(config_session.Session(args))
    except (
        declarations.DeclarationError,
        records.RecordError,
        schema.SchemaError,
        team_types.TeamsError,
    ) as error:
        return fail(error, EXIT_BAD_INPUT)
    except logs.LogUnavailableError as error:
        return fail(f"nothing done: the log is away: {error}", EXIT_REJECTED)
    except loading.HistoryLostError as error:
        return fail(f"nothing done: history is lost: {error}", EXIT_REJECTED)


def fail(error: object, status: int) -> int:
    """Print an error and return the exit status."""
    print(f"briarseam: {error}", file=sys.stderr)
    return status


def get(session: config_session.Session) -> int:
    """Show one path."""
    path = session.args.path
    schema.value_type(path)
    fold = session.load()
    entry = fold.entries.get(path)
    if entry is None:
        return fail(f"{path}: absent at offset {fold.offset}", EXIT_REJECTED)
    session.output.entry(path, entry, session.teams.owner(path))
    return EXIT_ACCEPTED


def tree(session: config_session.Session) -> int:
    """Show all paths."""
    fold = session.load()
    session.output.tree(fold, session.args.prefix, session.teams)
    return EXIT_ACCEPTED


def show_history(session: config_session.Session) -> int:
    """Show past changes."""
    prefix = session.args.prefix
    events = [
        event
        for event in history.read(session.client, session.teams, session.key)
        if not prefix or any(path.startswith(prefix) for path in event.sets)
    ]
    session.output.history(events[-session.args.last :])
    return EXIT_ACCEPTED


def plan_directory(
    session: config_session.Session, fold: folds.Fold
) -> plans.Plan:
    """Return the plan of a directory of declarations.

    Raises
    ------
    DeclarationError
        When a declaration does not fit; nothing is published then.
    """
    declared = declarations.read_directory(session.args.directory)
    values = {item.path: dict(item.value) for item in declared}
    places = {item.path: item.place for item in declared}
    declarations.check_tokens(fold.values() | values, places)
    for path in values:
        if session.teams.owner(path) is None:
            raise declarations.DeclarationError(
                places[path], path, "a path that some team holds"
            )
    return plans.make_plan(
        fold, session.teams, session.team(), values, session.args.since
    )


def diff(session: config_session.Session) -> int:
    """Show what apply would change."""
    plan = plan_directory(session, session.load())
    session.output.plan(plan)
    session.output.finish()
    return EXIT_REJECTED if plan.conflicts() else EXIT_ACCEPTED


def apply(session: config_session.Session) -> int:
    """Make the team's subtree what a directory declares."""
    if session.args.start_over:
        return start_over(session)
    fold = session.load()
    return publish_plan(session, fold, plan_directory(session, fold))


def start_over(session: config_session.Session) -> int:
    """Apply to an empty tree, for a log that has lost its history.

    The change goes first and its snapshot after it: agents then go from no
    tree to the declared one, and none serves an empty one in between.
    """
    try:
        fold = session.load()
    except loading.HistoryLostError:
        fold = loading.start_over(session.client)
    else:
        raise declarations.DeclarationError(
            "--start-over", "", f"the tree is whole at offset {fold.offset}"
        )
    plan = plan_directory(session, fold)
    return publish_plan(session, fold, plan, snapshot=True)


def set_fields(session: config_session.Session) -> int:
    """Set or delete one path."""
    path, fields = session.args.path, session.args.fields
    if bool(fields) == session.args.delete:
        raise declarations.DeclarationError(
            path, "", "either FIELD=VALUE or --delete"
        )
    fold = session.load()
    entry = fold.entries.get(path)
    author = session.team()
    if session.teams.owner(path) != author:
        raise declarations.DeclarationError(
            path, "", f"a path of team {author}"
        )
    after = None
    if not session.args.delete:
        after = declarations.merge_fields(
            path, entry.value if entry else None, fields
        )
        declarations.check_tokens(fold.values() | {path: after}, {path: "set"})
    step = plans.plan_step(fold, path, after, None)
    steps = (step,) if step else ()
    plan = plans.Plan(author, fold.offset, steps, (), 0)
    return publish_plan(session, fold, plan)


def publish_plan(
    session: config_session.Session,
    fold: folds.Fold,
    plan: plans.Plan,
    snapshot: bool = False,
) -> int:
    """Show the plan, publish it as one change and follow that.

    Parameters
    ----------
    session
        Of this command.
    fold
        The tree that the plan was made on.
    plan
        What to publish.
    snapshot
        Whether to write a snapshot once it is accepted.
    """
    try:
        return carry_out(session, fold, plan, snapshot)
    finally:
        session.output.finish()


def carry_out(
    session: config_session.Session,
    fold: folds.Fold,
    plan: plans.Plan,
    snapshot: bool,
) -> int:
    """Publish a plan, printing each step; return the exit status."""
    session.output.plan(plan)
    if plan.conflicts():
        return EXIT_REJECTED
    if not plan.steps:
        return EXIT_ACCEPTED
    operator = session.args.operator or getpass.getuser()
    publisher = publish.Publisher(
        session.client, session.teams, fold, session.args.settle
    )
    outcome = publisher.apply(plan.change(operator))
    session.output.outcome(outcome, fold)
    match outcome:
        case folds.Accepted(offset):
            if snapshot and not snapshots.write(
                session.client, snapshots.make_chunks(fold), session.key
            ):
                return fail("the snapshot was not written", EXIT_UNKNOWN)
            follow(session, plan.team, offset)
            return EXIT_ACCEPTED
        case folds.Rejected() | publish.NotAppended():
            return EXIT_REJECTED
        case publish.Unknown():
            return EXIT_UNKNOWN


def follow(session: config_session.Session, team: str, offset: int) -> None:
    """Follow an accepted change and show who does not have it yet."""
    if session.args.no_follow:
        return
    key = session.teams.by_name[team].keys[0]
    tracker = following.PropagationTracker(
        session.entries(),
        instances.InstanceList(str(session.settings.platform.instances)),
        tokens.operator_token(team, key),
    )
    session.output.followed(tracker.follow(offset, session.args.timeout))
