"""Outcome of an operator command: exit status, text and JSON."""

import sys
from enum import Enum, IntEnum
from typing import NoReturn

from result import Err, Ok, Result

from gooseberryquay.contracts.fields import FrozenModel
from gooseberryquay.ids import ChangeId, Revision
from gooseberryquay.zones.configuration import Configuration
from gooseberryquay.zones.configuration_change import AcceptedChange
from gooseberryquay.zones.configuration_failure import (
    ChangeRejected,
    ChangeUndecided,
    ConfigurationConflict,
    ConfigurationFailure,
    ConfigurationUnavailable,
    NoConfiguration,
)

__all__ = ["CommandOutcome", "ExitStatus", "OutcomeKind", "finish", "outcome_of"]


class ExitStatus(IntEnum):
    """Define the exit statuses of operator commands."""

    DONE = 0
    CHECKS_FAILED = 1
    CONFLICT = 2
    UNAVAILABLE = 3


class OutcomeKind(Enum):
    """Identify the outcome of a command."""

    ACCEPTED = "accepted"
    SHOWN = "shown"
    CHECKS_FAILED = "checks_failed"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNDECIDED = "undecided"
    NO_CONFIGURATION = "no_configuration"


class CommandOutcome(FrozenModel):
    """Represent the output of a command, as printed with `--json`."""

    outcome: OutcomeKind
    message: str
    revision: Revision | None = None
    change_id: ChangeId | None = None
    problems: tuple[str, ...] = ()
    winners: tuple[AcceptedChange, ...] = ()
    changes: tuple[AcceptedChange, ...] = ()
    configuration: Configuration | None = None

    def exit_status(self) -> ExitStatus:
        """Return the exit status for this outcome."""
        match self.outcome:
            case OutcomeKind.ACCEPTED | OutcomeKind.SHOWN:
                return ExitStatus.DONE
            case OutcomeKind.CHECKS_FAILED:
                return ExitStatus.CHECKS_FAILED
            case OutcomeKind.CONFLICT:
                return ExitStatus.CONFLICT
            case _:
                return ExitStatus.UNAVAILABLE


def outcome_of(result: Result[Configuration, ConfigurationFailure]) -> CommandOutcome:
    """Convert the result of a change to an outcome."""
    match result:
        case Ok(configuration):
            message = f"revision {configuration.revision} is accepted"
            return CommandOutcome(
                outcome=OutcomeKind.ACCEPTED, message=message, revision=configuration.revision
            )
        case Err(failure):
            return _outcome_of_failure(failure)


def _outcome_of_failure(failure: ConfigurationFailure) -> CommandOutcome:
    message = str(failure)
    match failure:
        case ChangeRejected(problems=problems):
            texts = tuple(str(problem) for problem in problems)
            return CommandOutcome(
                outcome=OutcomeKind.CHECKS_FAILED, message=message, problems=texts
            )
        case ConfigurationConflict(current_revision=revision, winners=winners):
            return CommandOutcome(
                outcome=OutcomeKind.CONFLICT, message=message, revision=revision, winners=winners
            )
        case ChangeUndecided(change_id=change_id):
            return CommandOutcome(
                outcome=OutcomeKind.UNDECIDED, message=message, change_id=change_id
            )
        case ConfigurationUnavailable():
            return CommandOutcome(outcome=OutcomeKind.UNAVAILABLE, message=message)
        case NoConfiguration():
            return CommandOutcome(outcome=OutcomeKind.NO_CONFIGURATION, message=message)


def finish(outcome: CommandOutcome, is_json: bool) -> NoReturn:
    """Print an outcome and exit the process with its status."""
    status = outcome.exit_status()
    if is_json:
        print(outcome.model_dump_json(exclude_none=True))
    else:
        print(outcome.message, file=sys.stdout if status is ExitStatus.DONE else sys.stderr)
    sys.exit(status)
