"""``briarseam condemned``: prompts with which endpoints died."""

from __future__ import annotations

import dataclasses
import getpass
import sys
import typing

from briarseam.admission import condemnation
from briarseam.admission import condemnation_log
from briarseam.admission import condemnation_records as records
from briarseam.admission import evidence
from briarseam.backing import log as logs
from briarseam.command import help_format
from briarseam.command import options
from briarseam.command import output
from briarseam.configuration import teams as team_types

if typing.TYPE_CHECKING:
    import argparse

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_UNKNOWN = 3
MS = 1000
LIST = "list"
LIFT = "lift"
HEADERS = ("prompt", "organisation", "model", "endpoints", "ends in s")


@dataclasses.dataclass(frozen=True)
class Row:
    """One condemned prompt.

    Attributes
    ----------
    prompt
        Its fingerprint.
    organisation, model
        Whose, for which model.
    endpoints
        What died with it.
    ends_in_s
        Seconds until it ends by itself.
    """

    prompt: str
    organisation: str
    model: str
    endpoints: tuple[str, ...]
    ends_in_s: int


class Session:
    """The log's stream as this operator may read and write it."""

    def __init__(self, args: argparse.Namespace) -> None:
        settings = options.load_settings(args)
        self.teams = team_types.from_settings(settings.teams)
        self.client = logs.LogClient(str(settings.platform.log))
        shared = settings.agent.shared_key
        self.key = shared.value if shared else b""
        clock = condemnation_log.LogClock()
        self.evidence_set = condemnation.EvidenceSet(clock.now_ms)

    def load(self) -> None:
        """Read the stream to its end.

        Raises
        ------
        logs.LogUnavailableError
            When the log cannot be read.
        """
        after = 0
        while True:
            batch = self.client.read(records.STREAM, after)
            for record in batch.records:
                self.take(record)
            if not batch.records:
                return
            after = batch.records[-1].offset

    def take(self, record: logs.Record) -> None:
        """Take a record's items in, if somebody vouches for it."""
        try:
            items = records.decode(record.data, self.key, self.teams)
        except records.RecordError:
            return
        for item in items:
            self.evidence_set.merge(item)

    def rows(self) -> list[Row]:
        """Return the condemned prompts."""
        now_ms = self.evidence_set.now_ms()
        return [
            Row(
                prompt,
                standing.losses[0].organisation,
                standing.losses[0].model,
                tuple(loss.endpoint for loss in standing.losses),
                (standing.expires_at_ms - now_ms) // MS,
            )
            for prompt, standing in self.evidence_set.condemned().items()
        ]

    def lift(self, prompt: str, standing: condemnation.Condemned) -> str:
        """Append a lift; return why that failed, empty if it did not.

        Raises
        ------
        team_types.TeamsError
            When the settings hold no key of the team that may.
        """
        organisation = standing.losses[0].organisation
        path = f"organisations/{organisation}"
        team = self.teams.owner(path)
        if team is None:
            raise team_types.TeamsError(f"no team of the settings has {path}")
        cleared = evidence.Cleared(
            prompt,
            organisation,
            tuple(loss.group for loss in standing.losses),
            f"{team}/{getpass.getuser()}",
            self.evidence_set.now_ms(),
        )
        data = records.encode_lift(cleared, team, self.teams)
        match self.client.append(records.STREAM, data):
            case logs.Appended():
                return ""
            case logs.AppendRefused(detail) | logs.AppendUnknown(detail):
                return detail


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the subcommand."""
    actions = parser.add_subparsers(
        dest="action", metavar="ACTION", required=True
    )
    listed = actions.add_parser(
        LIST,
        help="show the condemned prompts",
        description="Show the condemned prompts.",
        formatter_class=help_format.HelpFormatter,
        allow_abbrev=False,
    )
    options.add_settings(listed)
    options.add_output(listed)
    lifted = actions.add_parser(
        LIFT,
        help="let a condemned prompt run again",
        description="Let a condemned prompt run again, as if it were new.",
        formatter_class=help_format.HelpFormatter,
        allow_abbrev=False,
    )
    lifted.add_argument(
        "prompt",
        metavar="PROMPT",
        help="as listed; its first digits will do",
    )
    options.add_settings(lifted)


def execute(args: argparse.Namespace) -> int:
    """Show or lift condemnations."""
    session = Session(args)
    try:
        session.load()
    except logs.LogUnavailableError as error:
        return fail(f"the log cannot be read: {error}", EXIT_UNKNOWN)
    if args.action == LIST:
        return show(args, session.rows())
    return lift(session, args.prompt)


def show(args: argparse.Namespace, rows: list[Row]) -> int:
    """Print the condemned prompts."""
    if getattr(args, "json", False):
        output.print_json(rows)
        return EXIT_DONE
    if not rows:
        print("no prompt is condemned")
        return EXIT_DONE
    cells = [
        [
            row.prompt,
            row.organisation,
            row.model,
            " ".join(row.endpoints),
            str(row.ends_in_s),
        ]
        for row in rows
    ]
    output.print_records(args, HEADERS, cells)
    return EXIT_DONE


def lift(session: Session, prompt: str) -> int:
    """Lift the one condemnation whose prompt begins so."""
    found = {
        name: standing
        for name, standing in session.evidence_set.condemned().items()
        if name.startswith(prompt)
    }
    if len(found) != 1:
        return fail(f"{len(found)} condemned prompts begin so", EXIT_REFUSED)
    ((name, standing),) = found.items()
    try:
        detail = session.lift(name, standing)
    except team_types.TeamsError as error:
        return fail(str(error), EXIT_REFUSED)
    if detail:
        return fail(f"not known whether it was lifted: {detail}", EXIT_UNKNOWN)
    print(f"lifted {name}")
    return EXIT_DONE


def fail(detail: str, status: int) -> int:
    """Print why something failed; return the exit status."""
    print(f"briarseam: {detail}", file=sys.stderr)
    return status
