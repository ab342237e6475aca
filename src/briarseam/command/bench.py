"""``briarseam bench FILE.ini``: an experiment on a running deployment."""

from __future__ import annotations

import pathlib
import sys
import time
import typing

from briarseam.backing import log as platform_log
from briarseam.bench import arms
from briarseam.bench import experiment
from briarseam.bench import faults
from briarseam.bench import links
from briarseam.bench import load
from briarseam.bench import measures
from briarseam.bench import processes
from briarseam.bench import report
from briarseam.command import http
from briarseam.command import options
from briarseam.command import output
from briarseam.configuration import snapshots
from briarseam.configuration import teams
from briarseam.status import messages

if typing.TYPE_CHECKING:
    import argparse

EXIT_USAGE = 2
EXIT_FAILED = 1
IN_FORCE_S = 10.0
POLL_S = 0.1
TOKEN_FORM = "demo-token-{}"


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the subcommand."""
    parser.add_argument("file", metavar="FILE.ini", help="the experiment")
    http.add_operator(parser)
    parser.add_argument(
        "--caller-entry",
        dest="entries",
        metavar="IP:PORT",
        type=options.address,
        action="append",
        required=True,
        help="an entry that callers know; may be repeated",
    )
    parser.add_argument(
        "--pids",
        metavar="FILE",
        help="lines NAME PID of the processes to measure",
    )
    parser.add_argument(
        "--results",
        metavar="DIR",
        type=pathlib.Path,
        default=pathlib.Path("bench/results"),
        help="where the results go",
    )
    options.add_output(parser)


def execute(args: argparse.Namespace) -> int:
    """Run the experiment, arm after arm; write and print the results."""
    try:
        wanted = experiment.load(args.file)
    except experiment.ExperimentError as error:
        print(f"briarseam: {error}", file=sys.stderr)
        return EXIT_USAGE
    runner = Runner(args)
    try:
        results = tuple(runner.run(wanted, arm) for arm in wanted.arms)
    except (arms.ArmError, http.AskError) as error:
        print(f"briarseam: {error}", file=sys.stderr)
        return EXIT_FAILED
    result = report.Result(
        experiment=wanted,
        command=f"briarseam bench {report.relative(args.file)}",
        made_at=report.now_text(),
        machine=report.describe_machine(),
        arms=results,
    )
    report.write(result, args.results)
    report.plot(result, args.results)
    headers = ["figure", *[arm.name for arm in wanted.arms]]
    output.print_records(args, headers, report.rows(result))
    return 0


class Runner:
    """Runs arms against the deployment that the options name."""

    def __init__(self, args: argparse.Namespace) -> None:
        self.settings = options.load_settings(args)
        self.asker = http.operator_asker(args)
        secret = self.settings.agent.shared_key
        shared = secret.value if secret else b""
        self.operator = arms.Operator(
            platform_log.LogClient(str(self.settings.platform.log)),
            teams.from_settings(self.settings.teams),
            snapshots.derive_key(shared),
        )
        self.target = load.Target(
            tuple(str(entry) for entry in args.entries), TOKEN_FORM.format
        )
        self.names = processes.read_names(args.pids) if args.pids else {}

    def run(
        self, wanted: experiment.Experiment, arm: experiment.Arm
    ) -> report.ArmResult:
        """Run one arm."""
        self.await_offset(arms.apply(arm, self.operator))
        stores = links.stores(self.operator)
        workload = arm.workload
        recorder = measures.Recorder(workload.warmup_s, workload.duration_s)
        sending = load.Load(self.target, workload, arm.name, recorder)
        sending.prepare()
        before = links.read(stores)
        started = time.monotonic()
        watch = processes.Watch(self.names)
        faults.Schedule(wanted.faults).start()
        sending.run()
        usages = watch.usages()
        elapsed_s = time.monotonic() - started
        return report.ArmResult(
            name=arm.name,
            summary=recorder.summary(),
            late_s=round(sending.late_s, 3),
            usages=usages,
            store_links=links.usages(stores, before, elapsed_s),
            points=tuple(sorted(recorder.points, key=lambda one: one.at_s)),
        )

    def await_offset(self, offset: int) -> None:
        """Wait until every agent reports a configuration offset."""
        until = time.monotonic() + IN_FORCE_S
        while True:
            status = self.asker.get("/v1/status", messages.Status)
            offsets = [one.configuration_offset for one in status.agents]
            if min(offsets) >= offset:
                return
            if time.monotonic() > until:
                raise arms.ArmError(f"offset {offset} is not in force")
            time.sleep(POLL_S)
