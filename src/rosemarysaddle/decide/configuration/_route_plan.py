"""Route plan: the group that serves each database, and how."""

from __future__ import annotations

import enum
import json
from typing import Final, NoReturn

import attrs

from rosemarysaddle.decide.configuration._teams import (
    TeamDirectory,
    digest_key,
    find_team_fault,
)
from rosemarysaddle.schema import (
    GroupPolicy,
    Route,
    RoutePlan,
    SchemaFault,
    SessionLimits,
    Team,
    build_document,
    parse_document,
)

__all__ = ("Freshness", "RouteTable", "check_plan")

# Faults of a text with one of these names show none of its values: one
# that is misplaced or of the wrong type may be a key.
_NAMES_NEAR_KEYS: Final = frozenset({"teams", "api_keys"})


class Freshness(enum.StrEnum):
    """Freshness of the data that a read on a route requires."""

    PRIMARY = "primary"
    BOUNDED = "bounded_staleness"
    SESSION = "read_your_writes"


@attrs.define(kw_only=True)
class RouteTable:
    """Route plan in force, indexed by database and by group.

    :param version: version of the plan; -1 before the first plan
    :param source: text of the plan, as submitted or rebuilt by a patch
    :param databases: first route of each database, by name of the
        database
    :param groups: policy of each group, by name of the group
    :param limits: limits that apply to each session
    :param teams: teams of the plan, or None if callers need no key
    """

    version: int = -1
    source: str = attrs.field(default="", repr=False)
    databases: dict[str, Route] = attrs.field(factory=dict)
    groups: dict[str, GroupPolicy] = attrs.field(factory=dict)
    limits: SessionLimits = attrs.field(factory=SessionLimits)
    teams: TeamDirectory | None = None

    @classmethod
    def of(cls, source: str) -> RouteTable:
        """Build the table from the text of a plan already checked."""
        plan = build_document(RoutePlan, json.loads(source))
        databases: dict[str, Route] = {}
        for route in plan.routes:
            databases.setdefault(route.database, route)
        return cls(
            version=plan.version,
            source=source,
            databases=databases,
            groups={group.name: group for group in plan.groups},
            limits=plan.limits,
            teams=(
                TeamDirectory.of(plan.teams)
                if plan.teams is not None
                else None
            ),
        )

    @property
    def uses_teams(self) -> bool:
        """Whether callers belong to teams."""
        return self.teams is not None

    def team(self, name: str) -> Team | None:
        """Look up a team by name."""
        return self.teams.by_name.get(name) if self.teams else None

    def requires_key(self, route: Route) -> bool:
        """Tell whether callers of a route have to show a team's key."""
        return self.teams is not None and not route.public

    def authenticate(self, key: str) -> Team | None:
        """Return the team that holds a key, or None."""
        return self.find_team(digest_key(key))

    def find_team(self, digest: bytes) -> Team | None:
        """Return the team that holds the key of a digest, or None."""
        return self.teams.find(digest) if self.teams is not None else None


def check_plan(text: str, *, source: str) -> RoutePlan | SchemaFault:
    """Check the text of a plan and the references within it.

    :param text: JSON text of the plan
    :param source: identifier of the change, named in a fault
    :return: the plan, or path and reason of the first fault
    """
    try:
        value = json.loads(text, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        return SchemaFault(source=source, path="$", reason=str(error))
    may_contain_keys = any(name in text for name in _NAMES_NEAR_KEYS) or (
        isinstance(value, dict) and not _NAMES_NEAR_KEYS.isdisjoint(value)
    )
    plan = parse_document(
        RoutePlan, value, source=source, show_values=not may_contain_keys
    )
    if isinstance(plan, SchemaFault):
        return plan
    return _check_names(plan, source) or plan


def _check_names(plan: RoutePlan, source: str) -> SchemaFault | None:
    groups = {group.name for group in plan.groups}
    taken: set[tuple[str, str]] = set()
    for number, route in enumerate(plan.routes):
        path = f"$.routes[{number}]"
        if route.group not in groups:
            reason = f"unknown group {route.group}"
            return SchemaFault(source=source, path=path, reason=reason)
        key = (route.database, route.path_prefix)
        if key in taken:
            reason = f"duplicate route of {route.database}"
            return SchemaFault(source=source, path=path, reason=reason)
        taken.add(key)
    fault = find_team_fault(plan.teams or ())
    if fault is None:
        return None
    path, reason = fault
    return SchemaFault(source=source, path=path, reason=reason)


def _refuse_constant(name: str) -> NoReturn:
    message = f"{name} is not a JSON number"
    raise ValueError(message)
