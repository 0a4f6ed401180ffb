"""Failures of reading and changing the stored configuration."""

from dataclasses import dataclass

from gooseberryquay.ids import ChangeId, Revision
from gooseberryquay.zones.configuration_change import AcceptedChange, describe_change
from gooseberryquay.zones.configuration_problem import ConfigurationProblem

__all__ = [
    "ChangeRejected",
    "ChangeUndecided",
    "ConfigurationConflict",
    "ConfigurationFailure",
    "ConfigurationUnavailable",
    "NoConfiguration",
]


@dataclass(frozen=True)
class ConfigurationUnavailable:
    """Report that the configuration could not be read or written; nothing changed."""

    message: str

    def __str__(self) -> str:
        return f"the platform is unavailable, nothing was changed: {self.message}"


@dataclass(frozen=True)
class NoConfiguration:
    """Report that the platform holds no configuration."""

    def __str__(self) -> str:
        return "the platform holds no configuration"


@dataclass(frozen=True)
class ChangeRejected:
    """Report a change that failed the checks; nothing changed."""

    problems: tuple[ConfigurationProblem, ...]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)


@dataclass(frozen=True)
class ConfigurationConflict:
    """Report a conflicting update; `winners` are the changes after the expected revision."""

    expected_revision: Revision
    current_revision: Revision
    winners: tuple[AcceptedChange, ...]

    def __str__(self) -> str:
        lines = [
            f"conflict: expected revision {self.expected_revision}, "
            f"but revision {self.current_revision} is accepted"
        ]
        for each in self.winners:
            lines.append(f"  {each.revision} by {each.author}: {describe_change(each.change)}")
        return "\n".join(lines)


@dataclass(frozen=True)
class ChangeUndecided:
    """Report a change of unknown outcome; `config history` lists its id if it was accepted."""

    change_id: ChangeId
    message: str

    def __str__(self) -> str:
        return f"change {self.change_id} may or may not be accepted: {self.message}"


ConfigurationFailure = (
    ConfigurationUnavailable
    | NoConfiguration
    | ChangeRejected
    | ConfigurationConflict
    | ChangeUndecided
)
