"""Conversion of a connection's setup to and from loan messages.

The setup consists of the variables and prepared statements that are set
on the connection.
"""

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
    """Convert variables of a session to their message form."""
    return tuple(Variable(name=k, value=v) for k, v in values.items())


def build_loan_grant(setup: ConnectionSetup) -> LoanGrant:
    """Build the grant that describes the setup of a lent connection."""
    return LoanGrant(
        values=build_variables(setup.values), prepared=_prepared_names(setup)
    )


def build_loan_return(
    setup: ConnectionSetup, *, was_busy: bool, ran_nothing: bool
) -> LoanReturn:
    """Build the return that describes the setup after a loan.

    :param was_busy: whether the target refused the last statement, as
        it was busy
    :param ran_nothing: whether it refused it for whatever reason
    """
    return LoanReturn(
        values=build_variables(setup.values),
        prepared=_prepared_names(setup),
        was_busy=was_busy,
        ran_nothing=ran_nothing,
    )


def parse_setup(message: LoanGrant | LoanReturn) -> ConnectionSetup:
    """Read the setup of a connection from a loan message."""
    return ConnectionSetup(
        values={v.name: v.value for v in message.values},
        prepared={p.name for p in message.prepared},
    )


def _prepared_names(setup: ConnectionSetup) -> tuple[PreparedName, ...]:
    return tuple(PreparedName(name=name) for name in setup.prepared)
