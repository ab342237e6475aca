from __future__ import annotations

import dataclasses
import itertools
import typing

import pytest

from briarseam import verdict
from briarseam.admission import condemnation
from briarseam.admission import condemnation_records as records
from briarseam.admission import crash_guard
from briarseam.admission import crash_messages
from briarseam.admission import holdings
from briarseam.admission import messages
from briarseam.admission import trials
from briarseam.configuration import teams

KEY = b"shared"
CASE = condemnation.case_of("north", "draft", b"prompt")
OTHER = condemnation.case_of("north", "draft", b"another prompt")
TEAMS = teams.Teams(
    (
        teams.Team("rumoi", (b"r",), ("organisations/north",)),
        teams.Team("wakkanai", (b"w",), ("organisations/south",)),
    )
)
names = itertools.count()


class Clock:
    def __init__(self) -> None:
        self.ms = 1_000_000

    def __call__(self) -> int:
        return self.ms


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def book(clock) -> condemnation.Book:
    return condemnation.Book(clock)


def lost(
    endpoint: str, group: str = "", case: condemnation.Case = CASE
) -> condemnation.Lost:
    return condemnation.Lost(
        case.fingerprint,
        case.organisation,
        case.model,
        endpoint,
        group or f"run-{next(names)}",
        1_000_000,
    )


def cleared(*groups: str, organisation: str = "north") -> condemnation.Cleared:
    return condemnation.Cleared(
        CASE.fingerprint, organisation, groups, "", 1_000_000
    )


@pytest.mark.parametrize(
    "prompt",
    [
        condemnation.case_of("south", "draft", b"prompt"),
        condemnation.case_of("north", "other", b"prompt"),
        condemnation.case_of("northd", "raft", b"prompt"),
        OTHER,
    ],
    ids=["organisation", "model", "parts run together", "prompt"],
)
def test_prompts_of_others_are_other_cases(prompt):
    """One organisation's crash refuses another organisation's prompt."""
    assert prompt.fingerprint != CASE.fingerprint


def test_two_lost_endpoints_condemn_for_a_term(book, clock):
    """A prompt takes down a third engine, or is refused for ever."""
    book.merge(lost("engine-0"))
    assert isinstance(book.standing(CASE.fingerprint), condemnation.Suspect)
    book.merge(lost("engine-1"))
    standing = book.standing(CASE.fingerprint)
    assert isinstance(standing, condemnation.Condemned)
    clock.ms = standing.until_ms
    assert book.standing(CASE.fingerprint) == condemnation.Clear()


def test_runs_lost_with_one_endpoint_count_once(book):
    """A popular prompt is condemned for one engine's death."""
    for _ in range(3):
        book.merge(lost("engine-0", "first-run"))
    assert isinstance(book.standing(CASE.fingerprint), condemnation.Suspect)


def test_items_may_come_in_any_order_and_twice(clock):
    """Agents disagree for good on whether a prompt is condemned."""
    first = lost("engine-0", "a")
    second = lost("engine-1", "b")
    items = (first, cleared("a"), second, second)
    for order in itertools.permutations(items):
        book = condemnation.Book(clock)
        for item in order:
            book.merge(item)
        assert book.standing(CASE.fingerprint) == condemnation.Suspect(("b",))


def test_what_is_old_is_forgotten(book, clock):
    book.merge(lost("engine-0"))
    clock.ms += condemnation.FORGET_MS + 1
    book.forget_old()
    assert book.losses == {}


def test_record_is_read_back(book):
    item = lost("engine-0")
    assert records.decode(records.encode([item], KEY), KEY, TEAMS) == [item]


def lift(author: str, organisation: str) -> bytes:
    item = cleared("a", organisation=organisation)
    return records.encode_lift(item, author, TEAMS)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"\x00", id="no record"),
        pytest.param(records.encode([], b"guessed"), id="wrong key"),
        pytest.param(lift("wakkanai", "north"), id="another team's"),
    ],
)
def test_record_that_nobody_vouches_for_is_refused(data):
    """Whoever can write to the log lifts or spreads condemnations."""
    with pytest.raises(records.RecordError):
        records.decode(data, KEY, TEAMS)


def test_team_lifts_for_its_own_organisation():
    assert records.decode(lift("rumoi", "north"), KEY, TEAMS)


class FakeLog:
    def __init__(self, book: condemnation.Book) -> None:
        self.book = book
        self.noted: list[condemnation.Item] = []
        self.written = 0
        self.late = False

    def note(self, item: condemnation.Item) -> None:
        self.book.merge(item)
        self.noted.append(item)

    def wait_ordered(self, trial, timeout_s: float) -> bool:
        self.written = len(self.noted)
        if self.late:
            return False
        self.book.note_order(trial, (self.written, 0))
        return True


class FakeEndpoints:
    def __init__(self) -> None:
        self.dead: set[str] = set()

    def boot_id(self, endpoint: str) -> str:
        return "boot"

    def has_died(self, endpoint: str, boot_id: str) -> bool:
        return endpoint in self.dead

    def idlest(self, request: messages.Admit, version: str) -> list[str]:
        engines = ("engine-0", "engine-1", "engine-2")
        return [name for name in engines if name not in request.lost]


@pytest.fixture
def endpoints() -> FakeEndpoints:
    return FakeEndpoints()


@pytest.fixture
def fake_log(book) -> FakeLog:
    return FakeLog(book)


@pytest.fixture
def tried(book, fake_log, endpoints) -> trials.Trials:
    return trials.Trials(book, fake_log, endpoints)


def ask_trial(
    case: condemnation.Case, run: str, *names: str
) -> crash_messages.AskTrial:
    return crash_messages.AskTrial(
        case.fingerprint, case.organisation, case.model, run, names, 0.0
    )


def test_suspects_are_never_tried_at_one_endpoint_together(tried, book):
    """An innocent prompt is condemned with the one that it ran beside."""
    book.merge(lost("engine-0"))
    book.merge(lost("engine-0", case=OTHER))
    first = tried.ask(ask_trial(CASE, "t1", "engine-1"))
    second = tried.ask(ask_trial(OTHER, "t2", "engine-1"))
    third = tried.ask(ask_trial(OTHER, "t3", "engine-1", "engine-2"))
    assert (first.word, first.endpoint) == ("granted", "engine-1")
    assert second.word == "busy"
    assert (third.word, third.endpoint) == ("granted", "engine-2")


def test_suspect_is_tried_once_at_a_time(tried, book, fake_log):
    """Two callers' resends of a suspect each take down an engine.

    The trial is in the log before it begins, for those who come after.
    """
    book.merge(lost("engine-0"))
    tried.ask(ask_trial(CASE, "t1", "engine-1", "engine-2"))
    assert "t1" in [item.group for item in fake_log.noted]
    assert fake_log.written == len(fake_log.noted)
    again = tried.ask(ask_trial(CASE, "t2", "engine-1", "engine-2"))
    assert again.word == "busy"


def test_endpoint_is_free_for_another_trial_at_the_first_token(tried, book):
    """Answers that an engine's death cut wait for each other for minutes.

    The prompt itself is still tried once at a time.
    """
    book.merge(lost("engine-0"))
    book.merge(lost("engine-0", case=OTHER))
    tried.ask(ask_trial(CASE, "t1", "engine-1"))
    book.merge(condemnation.TrialPassed("t1", book.now_ms()))
    assert tried.ask(ask_trial(OTHER, "t2", "engine-1")).word == "granted"
    assert tried.ask(ask_trial(CASE, "t3", "engine-2")).word == "busy"


def pass_first_trial(tried: trials.Trials, book: condemnation.Book) -> None:
    """Let a suspect get past where it was cut, at ``engine-1``."""
    book.merge(lost("engine-0"))
    book.merge(lost("engine-0", case=OTHER))
    tried.ask(ask_trial(CASE, "t1", "engine-1"))
    book.merge(condemnation.TrialPassed("t1", book.now_ms()))


def test_trial_begins_where_no_suspect_runs(tried, book):
    """An innocent prompt is condemned with the one it runs beside.

    Its trial passed, so its endpoint takes another trial while it runs on;
    the other prompt crashes that endpoint too.
    """
    pass_first_trial(tried, book)
    answer = tried.ask(ask_trial(OTHER, "t2", "engine-1", "engine-2"))
    assert answer.endpoint == "engine-2"


@pytest.mark.parametrize("told_first", ["t1", "t2"])
def test_passed_trial_is_not_condemned_with_the_one_beside_it(
    tried, book, told_first
):
    """An innocent prompt loses its second endpoint to another's trial.

    All other endpoints have trials, so both run at one.  In whichever
    order the losses are told, only the prompt whose trial had not passed
    is refused.
    """
    pass_first_trial(tried, book)
    tried.ask(ask_trial(OTHER, "t2", "engine-1"))
    losses = [lost("engine-1", "t1"), lost("engine-1", "t2", OTHER)]
    losses.sort(key=lambda loss: loss.group != told_first)
    for loss in losses:
        book.merge(loss)
        assert isinstance(
            book.standing(CASE.fingerprint), condemnation.Suspect
        )
    assert isinstance(book.standing(OTHER.fingerprint), condemnation.Condemned)


def test_trial_lost_alone_counts_though_it_had_passed(tried, book):
    """A prompt that crashes endpoints late is never refused."""
    pass_first_trial(tried, book)
    book.merge(lost("engine-1", "t1"))
    assert isinstance(book.standing(CASE.fingerprint), condemnation.Condemned)


def test_trial_whose_answer_was_lost_is_granted_again(tried, book):
    book.merge(lost("engine-0"))
    ask = ask_trial(CASE, "t1", "engine-1")
    assert tried.ask(ask) == tried.ask(ask)


def test_trial_that_ended_unnoticed_counts(tried, book, endpoints):
    """All agents are replaced as a trial takes down its engine."""
    book.merge(lost("engine-0"))
    tried.ask(ask_trial(CASE, "t1", "engine-1"))
    endpoints.dead.add("engine-1")
    answer = tried.ask(ask_trial(CASE, "t2", "engine-2"))
    assert answer.word == "condemned"


def test_trial_that_is_not_in_the_log_does_not_begin(tried, book, fake_log):
    """A third engine is lost as all agents are replaced.

    The log answers late on a busy machine.  The trial takes down its
    engine before it is written, and the agents that knew of it are gone.
    """
    book.merge(lost("engine-0"))
    fake_log.late = True
    assert tried.ask(ask_trial(CASE, "t1", "engine-1")).word == "busy"
    assert book.running_trials() == []


def test_loss_is_in_the_log_before_the_trial(tried, book, fake_log):
    """A third engine is lost as all agents are replaced.

    The agent that saw the first loss told the keeper of trials, and is
    gone before its own record was written.
    """
    book.merge(lost("engine-0", "first"))
    tried.ask(ask_trial(CASE, "t1", "engine-1"))
    noted = [item.group for item in fake_log.noted[: fake_log.written]]
    assert noted == ["first", "t1"]


def hold(run: str, endpoint: str) -> crash_messages.Hold:
    return crash_messages.Hold(CASE.fingerprint, run, endpoint)


def release(run: str, whole: bool = False, suspect: bool = False):
    return crash_messages.Release(CASE.fingerprint, run, whole, suspect)


def test_prompt_runs_at_one_endpoint_until_it_has_finished():
    """Callers that send a prompt at once take down an engine each."""
    held = holdings.Holdings()
    assert held.hold(hold("a", "engine-0")).group == "a"
    elsewhere = held.hold(hold("b", "engine-1"))
    assert (elsewhere.endpoint, elsewhere.group) == ("engine-0", "a")
    held.release(release("a", whole=True))
    assert held.hold(hold("c", "engine-2")).endpoint == "engine-2"


def test_prompt_whose_endpoint_died_is_suspect_to_its_owner():
    held = holdings.Holdings()
    held.hold(hold("a", "engine-0"))
    held.release(release("a", suspect=True))
    assert held.hold(hold("b", "engine-1")).suspect
    held.release(release("b", whole=True))
    assert not held.hold(hold("c", "engine-1")).suspect


def test_run_that_is_not_heard_of_again_lets_the_prompt_go():
    """A prompt stays bound to an engine after its agent died."""
    now = [0.0]
    held = holdings.Holdings(lambda: now[0])
    held.hold(hold("a", "engine-0"))
    now[0] += holdings.HOLD_BOUND_S + 1
    assert held.hold(hold("b", "engine-1")).endpoint == "engine-1"


class FakeOthers:
    """This agent as the only one."""

    def __init__(self, tried: trials.Trials) -> None:
        self.held = holdings.Holdings()
        self.tried = tried
        self.away = False

    def hold(self, ask):
        return None if self.away else self.held.hold(ask)

    def release(self, told):
        self.held.release(told)

    def ask_trial(self, ask):
        return None if self.away else self.tried.ask(ask)

    def accuse(self, items):
        self.tried.take(items)


class FakePlacing:
    """Grants engines in turn."""

    def __init__(self, request: messages.Admit) -> None:
        self.request = request
        self.withdrawn: list[str] = []

    def grant(self, only: str, deadline: float) -> messages.Granted:
        number = next(names)
        endpoint = only or f"engine-{number % 3}"
        if endpoint in self.request.lost:
            raise verdict.RefusalError(
                verdict.NotRun(verdict.Reason.NO_ENDPOINT, "", 1.0)
            )
        return messages.Granted(
            f"run-{number}", "", "", "north", endpoint, "address"
        )

    def withdraw(self, granted: messages.Granted) -> None:
        self.withdrawn.append(granted.run_id)


@dataclasses.dataclass
class Site:
    """A guard, and engines that die of the prompt if it is guilty."""

    guard: crash_guard.CrashGuard
    endpoints: FakeEndpoints
    others: FakeOthers

    def place(
        self, lost_so_far: tuple[str, ...] = ()
    ) -> messages.Granted | verdict.Verdict:
        request = messages.Admit(
            "", "draft", "", (), 1, 1, 5, 200, lost=lost_so_far
        )
        asked = crash_guard.Asked(CASE, request, "")
        try:
            return self.guard.place(asked, FakePlacing(request))
        except verdict.RefusalError as error:
            return error.given

    def crash(self, granted: typing.Any) -> None:
        self.endpoints.dead.add(granted.endpoint)
        self.end(granted, messages.RunResult.LOST_BEFORE_FIRST)

    def end(self, granted: typing.Any, result: messages.RunResult) -> None:
        self.guard.ended(granted.run_id, result)


@pytest.fixture
def site(book, fake_log, tried, endpoints) -> Site:
    others = FakeOthers(tried)
    parts = crash_guard.GuardParts(
        book, fake_log.note, lambda: None, others, endpoints
    )
    return Site(crash_guard.CrashGuard(parts), endpoints, others)


def test_second_lost_endpoint_is_the_last(site):
    site.crash(site.place())
    site.crash(site.place())
    refused = site.place()
    assert isinstance(refused, verdict.NotRun)
    assert refused.reason is verdict.Reason.CONDEMNED
    assert refused.retry_after_s and refused.retry_after_s > 60


def test_callers_at_once_lose_one_endpoint(site):
    granted = [site.place() for _ in range(5)]
    assert len({one.endpoint for one in granted}) == 1


def test_suspect_that_finishes_elsewhere_is_cleared(site, book):
    site.crash(site.place())
    site.end(site.place(), messages.RunResult.DONE)
    assert book.standing(CASE.fingerprint) == condemnation.Clear()


def test_cut_link_to_a_living_endpoint_accuses_nobody(site, book):
    granted = site.place()
    site.end(granted, messages.RunResult.LOST_AFTER_FIRST)
    assert book.standing(CASE.fingerprint) == condemnation.Clear()


def test_suspect_waits_while_the_keeper_is_away(site):
    """Log and agents are in trouble as an engine dies; no trial unseen."""
    site.crash(site.place())
    site.others.away = True
    refused = site.place()
    assert isinstance(refused, verdict.NotRun)
    assert refused.retry_after_s


def test_endpoint_that_died_with_its_agent_counts(site, book):
    """The agent that granted the prompt dies along with the engine.

    The caller's resend is granted the same engine, cannot reach it, and
    asks again.
    """
    granted = site.place()
    site.guard.watched.clear()
    site.endpoints.dead.add(granted.endpoint)
    again = site.place((granted.endpoint,))
    assert isinstance(again, messages.Granted)
    assert isinstance(book.standing(CASE.fingerprint), condemnation.Suspect)


def test_run_known_to_its_owner_only_is_copied_on():
    """The owner of a prompt grants it, and dies with the endpoint.

    Whoever owns the prompt next tells where it ran, group and all.
    """
    held = holdings.Holdings()
    held.copy(
        crash_messages.HoldCopy(CASE.fingerprint, "a", "engine-0", "first")
    )
    holding = held.hold(hold("b", "engine-1"))
    assert (holding.endpoint, holding.group) == ("engine-0", "first")
    held.release(release("a", whole=True))
    assert held.hold(hold("c", "engine-1")).endpoint == "engine-1"


def test_keeper_learns_the_loss_from_who_asks(tried, book):
    """The agent that kept the trials dies; the next one knows of nothing."""
    item = lost("engine-0")
    ask = dataclasses.replace(
        ask_trial(CASE, "t1", "engine-1"), items=records.encode_items([item])
    )
    assert tried.ask(ask).word == "granted"
    assert book.of_prompt(CASE.fingerprint) == [item]


@pytest.mark.parametrize(
    "other",
    [
        pytest.param((CASE, "engine-2"), id="same prompt"),
        pytest.param((OTHER, "engine-1"), id="same endpoint"),
    ],
)
def test_second_keepers_later_trial_is_withdrawn(tried, book, fake_log, other):
    """A suspect takes down two engines at once, or an innocent with it.

    The keeper of trials was restarted; some agents ask it, some the one
    that kept them in between.  Both grant a trial, the log tells whose
    came first.
    """
    case, endpoint = other
    rival = condemnation.Trial(
        case.fingerprint, "north", "draft", endpoint, "rival", book.now_ms()
    )

    def read_back(trial, timeout_s: float) -> bool:
        book.merge(rival)
        book.note_order(rival, (1, 0))
        book.note_order(trial, (2, 0))
        return True

    fake_log.wait_ordered = read_back
    book.merge(lost("engine-0"))
    answer = tried.ask(ask_trial(CASE, "t1", "engine-1"))
    assert answer.word == "busy"
    assert [one.group for one in book.running_trials()] == ["rival"]
