"""What is set on a connection, as messages between hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemarysaddle.decide import ConnectionSetup
from rosemarysaddle.schema import LoanGrant, LoanReturn, PreparedName, Variable

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = (
    "build_loan_grant",
    "build_loan_return",
    "build_variables",
    "parse_setup",
)


def build_variables(values: Mapping[str, str]) -> tuple[Variable, ...]:
    """Render values of variables."""
    return tuple(Variable(name=k, value=v) for k, v in values.items())


def build_loan_grant(setup: ConnectionSetup) -> LoanGrant:
    """Render what is set on a connection that is lent."""
    return LoanGrant(
        values=build_variables(setup.values), prepared=_names(setup)
    )


def build_loan_return(setup: ConnectionSetup) -> LoanReturn:
    """Render what is set on a connection that is given back."""
    return LoanReturn(
        values=build_variables(setup.values), prepared=_names(setup)
    )


def parse_setup(message: LoanGrant | LoanReturn) -> ConnectionSetup:
    """Read what is set on a connection."""
    return ConnectionSetup(
        values={v.name: v.value for v in message.values},
        prepared={p.name for p in message.prepared},
    )


def _names(setup: ConnectionSetup) -> tuple[PreparedName, ...]:
    return tuple(PreparedName(name=name) for name in setup.prepared)
