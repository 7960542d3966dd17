"""Variables and prepared statements of sessions on shared connections.

A session may run each statement on another connection, so the module
finds what a connection lacks before it can run one.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rosemarysaddle.decide._statements import PreparedStatement

__all__ = ("ConnectionSetup", "SessionVariables", "SetupPlan", "shared_name")

MAX_PREPARED: Final = 256
_DIGEST_CHARS: Final = 12


def shared_name(shape: PreparedStatement) -> str:
    """Name a prepared statement by its content.

    Names that callers choose may collide.  The same content gets the
    same name, whichever session prepared it.
    """
    text = f"{shape.writes}:{shape.text}"
    digest = hashlib.blake2b(text.encode()).hexdigest()
    return f"p{digest[:_DIGEST_CHARS]}"


@attrs.define(kw_only=True)
class SessionVariables:
    """Variables and prepared statements of one session.

    :param values: value of each variable, by name
    :param shapes: shape of each prepared statement, by the name that
        the caller chose
    """

    values: dict[str, str] = attrs.field(factory=dict)
    shapes: dict[str, PreparedStatement] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class SetupPlan:
    """Setup that a connection lacks before it can run a statement.

    :param reset: whether to reset the connection first
    :param values: names and values of the variables to set
    :param prepare: shape to prepare under its shared name, or None
    """

    reset: bool
    values: tuple[tuple[str, str], ...]
    prepare: PreparedStatement | None

    @property
    def is_empty(self) -> bool:
        """Tell whether the connection lacks nothing."""
        return not (self.reset or self.values or self.prepare)


@attrs.define(kw_only=True)
class ConnectionSetup:
    """Variables and prepared statements of one connection to a target.

    :param values: value of each variable, by name
    :param prepared: shared names of the prepared statements
    """

    values: dict[str, str] = attrs.field(factory=dict)
    prepared: set[str] = attrs.field(factory=set)

    def plan(
        self, variables: SessionVariables, shape: PreparedStatement | None
    ) -> SetupPlan:
        """Find what the connection lacks for a statement of a session.

        The connection is reset if it has variables that the session has
        not set, or too many prepared statements.

        :param variables: variables of the session
        :param shape: shape of the prepared statement to run, or None
        """
        stale = any(name not in variables.values for name in self.values)
        reset = stale or len(self.prepared) >= MAX_PREPARED
        current = {} if reset else self.values
        values = _differing(variables.values.items(), current)
        known = not reset and shape and shared_name(shape) in self.prepared
        prepare = None if known else shape
        return SetupPlan(reset=reset, values=values, prepare=prepare)

    def record_applied(self, plan: SetupPlan) -> None:
        """Record that a plan was applied to the connection."""
        if plan.reset:
            self.clear()
        self.values.update(plan.values)
        if plan.prepare is not None:
            self.prepared.add(shared_name(plan.prepare))

    def clear(self) -> None:
        """Record that the connection was reset."""
        self.values.clear()
        self.prepared.clear()


def _differing(
    wanted: Iterable[tuple[str, str]], current: dict[str, str]
) -> tuple[tuple[str, str], ...]:
    return tuple((k, v) for k, v in wanted if current.get(k) != v)
