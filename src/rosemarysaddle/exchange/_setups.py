"""What is set on a connection, as messages between hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemarysaddle.decide import ConnectionSetup
from rosemarysaddle.schema import LoanGrant, LoanReturn, PreparedName, Variable

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("grant_of", "read_setup", "return_of", "variables_of")


def variables_of(values: Mapping[str, str]) -> tuple[Variable, ...]:
    """Render values of variables."""
    return tuple(Variable(name=k, value=v) for k, v in values.items())


def grant_of(setup: ConnectionSetup) -> LoanGrant:
    """Render what is set on a connection that is lent."""
    return LoanGrant(values=variables_of(setup.values), prepared=_names(setup))


def return_of(setup: ConnectionSetup) -> LoanReturn:
    """Render what is set on a connection that is given back."""
    return LoanReturn(
        values=variables_of(setup.values), prepared=_names(setup)
    )


def read_setup(message: LoanGrant | LoanReturn) -> ConnectionSetup:
    """Read what is set on a connection."""
    return ConnectionSetup(
        values={v.name: v.value for v in message.values},
        prepared={p.name for p in message.prepared},
    )


def _names(setup: ConnectionSetup) -> tuple[PreparedName, ...]:
    return tuple(PreparedName(name=name) for name in setup.prepared)
