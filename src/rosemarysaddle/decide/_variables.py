"""Values and prepared statements of a session on shared connections."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rosemarysaddle.decide._statements import Shape

__all__ = ("ConnectionSetup", "SessionVariables", "SetupPlan", "shared_name")

MAX_PREPARED: Final = 256
_NAME_CHARS: Final = 12


def shared_name(shape: Shape) -> str:
    """Name a prepared statement by its content.

    Callers choose names that collide; the same content gets the same
    name whoever prepared it.
    """
    text = f"{shape.writes}:{shape.text}"
    digest = hashlib.blake2b(text.encode()).hexdigest()
    return f"p{digest[:_NAME_CHARS]}"


@attrs.define(kw_only=True)
class SessionVariables:
    """What a caller has set in its session.

    :param values: value of each variable
    :param shapes: shape of each prepared name
    """

    values: dict[str, str] = attrs.field(factory=dict)
    shapes: dict[str, Shape] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class SetupPlan:
    """What a connection lacks before it may run a statement.

    :param reset: whether to clear the connection first
    :param values: variables to set
    :param prepare: shape to prepare under its shared name, or None
    """

    reset: bool
    values: tuple[tuple[str, str], ...]
    prepare: Shape | None

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing is lacking."""
        return not (self.reset or self.values or self.prepare)


@attrs.define(kw_only=True)
class ConnectionSetup:
    """What is set on one connection to a target."""

    values: dict[str, str] = attrs.field(factory=dict)
    prepared: set[str] = attrs.field(factory=set)

    def plan(
        self, variables: SessionVariables, shape: Shape | None
    ) -> SetupPlan:
        """Find what is lacking for a session's statement."""
        stale = any(name not in variables.values for name in self.values)
        reset = stale or len(self.prepared) >= MAX_PREPARED
        have = {} if reset else self.values
        values = _differing(variables.values.items(), have)
        known = not reset and shape and shared_name(shape) in self.prepared
        prepare = None if known else shape
        return SetupPlan(reset=reset, values=values, prepare=prepare)

    def record_applied(self, plan: SetupPlan) -> None:
        """Take note that a plan was carried out."""
        if plan.reset:
            self.clear()
        self.values.update(plan.values)
        if plan.prepare is not None:
            self.prepared.add(shared_name(plan.prepare))

    def clear(self) -> None:
        """Take note that the connection was reset."""
        self.values.clear()
        self.prepared.clear()


def _differing(
    wanted: Iterable[tuple[str, str]], have: dict[str, str]
) -> tuple[tuple[str, str], ...]:
    return tuple((k, v) for k, v in wanted if have.get(k) != v)
