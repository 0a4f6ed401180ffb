"""Services that workspaces call, and their service levels."""

from enum import Enum
from typing import Annotated

from pydantic import Field

from gooseberryquay.contracts.fields import FrozenModel, NameList
from gooseberryquay.ids import OperationName, ServiceId

__all__ = ["RepeatPolicy", "Service", "ServiceKind"]


class ServiceKind(Enum):
    """Distinguish services of model engines from plain ones."""

    MODEL = "model"
    PLAIN = "plain"


class RepeatPolicy(Enum):
    """Specify whether an operation may run more than once for the same request."""

    ALLOWED = "allowed"
    NEVER = "never"


class Service(FrozenModel):
    """Declare one service with its operations and its service level."""

    id: ServiceId
    kind: ServiceKind
    operations: NameList = ()
    never_repeat: NameList = ()
    first_token_s: Annotated[float, Field(gt=0)] = 1.0
    token_gap_s: Annotated[float, Field(gt=0)] = 0.071
    deadline_s: Annotated[float, Field(gt=0)] = 300.0
    objective: Annotated[float, Field(gt=0, lt=1)] = 0.95

    def has_operation(self, name: OperationName) -> bool:
        """Return whether the service declares the operation."""
        return name in self.operations

    def repeat_policy_of(self, name: OperationName) -> RepeatPolicy:
        """Return whether an operation may be repeated."""
        return RepeatPolicy.NEVER if name in self.never_repeat else RepeatPolicy.ALLOWED
