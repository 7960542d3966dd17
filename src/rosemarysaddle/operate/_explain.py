"""Log lines of all hosts that explain the outcome of one request."""

from __future__ import annotations

import datetime as dt
import re
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

__all__ = ("LogLine", "explain_request", "parse_log_lines")

# A change of primary and the events that led to it fit in this time.
CONTEXT_WINDOW_S: Final = 8.0
_KEY_VALUE: Final = re.compile(r'(\w+)=("[^"]*"|\S*)')
_NAME_KEYS: Final = ("peer", "target", "group", "team", "counting_host")
# Events that log the state on which a host bases its decisions. The
# last one of each kind before the request is shown.
_STATE_EVENTS: Final = {
    "started",
    "readiness",
    "control",
    "reloaded",
    "teams",
}
# Logged when a team starts and stops being refused, which may be long
# before a request.
_TEAM_STATE_EVENTS: Final = {"limit-reached", "limit-kept"}


@attrs.frozen(kw_only=True)
class LogLine:
    """One parsed log line.

    :param at_s: time of the line, in seconds since the epoch
    :param text: the line from its ``time`` field on
    """

    at_s: float
    host: str
    event: str
    fields: dict[str, str]
    text: str


def parse_log_lines(lines: Iterable[str]) -> list[LogLine]:
    """Parse log lines and sort them by time.

    Lines that are not in the hosts' log format are skipped.
    """
    parsed = (_parse_line(line) for line in lines)
    return sorted(
        (line for line in parsed if line is not None),
        key=lambda line: line.at_s,
    )


def explain_request(request_id: str, lines: Sequence[LogLine]) -> list[str]:
    """Select the log lines that explain what happened to a request.

    These are the lines of the request itself, lines near in time about
    the targets, groups and peers that it names, and the last state that
    each host concerned logged before the request.

    :param lines: lines of all hosts, sorted by time
    :return: texts of the lines in time order; empty if no line has the
        request's id
    """
    request_lines = [
        line for line in lines if line.fields.get("id") == request_id
    ]
    if not request_lines:
        return []
    start_s, end_s = (
        request_lines[0].at_s - CONTEXT_WINDOW_S,
        request_lines[-1].at_s + CONTEXT_WINDOW_S,
    )
    nearby = [line for line in lines if start_s <= line.at_s <= end_s]
    names = _names_in(request_lines)
    # Lines about a group also name its targets, and vice versa.
    names |= _names_in(line for line in nearby if names & _names_in([line]))
    hosts = {line.host for line in request_lines}
    related = [
        line
        for line in nearby
        if line in request_lines
        or ("id" not in line.fields and names & _names_in([line]))
    ]
    hosts |= {line.host for line in related}
    selected = [
        *related,
        *_last_state_lines(lines, hosts, names, request_lines[0].at_s),
    ]
    unique = {id(line): line for line in selected}
    ordered = sorted(unique.values(), key=lambda line: line.at_s)
    return [line.text for line in ordered]


def _last_state_lines(
    lines: Sequence[LogLine],
    hosts: set[str],
    names: set[str],
    before_s: float,
) -> list[LogLine]:
    latest: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        if line.at_s > before_s:
            break
        if line.host not in hosts:
            continue
        team = line.fields.get("team", "")
        if line.event in _STATE_EVENTS:
            latest[line.host, line.event] = line
        elif line.event in _TEAM_STATE_EVENTS and team in names:
            latest[line.host, f"limit {team}"] = line
    return list(latest.values())


def _names_in(lines: Iterable[LogLine]) -> set[str]:
    return {
        line.fields[key]
        for line in lines
        for key in _NAME_KEYS
        if line.fields.get(key, "-") not in {"", "-", "control"}
    }


def _parse_line(line: str) -> LogLine | None:
    offset = line.find("time=")
    if offset < 0:
        return None
    text = line[offset:].strip()
    fields = {key: value.strip('"') for key, value in _KEY_VALUE.findall(text)}
    try:
        logged_at = dt.datetime.fromisoformat(fields["time"])
        return LogLine(
            at_s=logged_at.timestamp(),
            host=fields["host"],
            event=fields["event"],
            fields=fields,
            text=text,
        )
    except (KeyError, ValueError):
        return None
