"""The story of one request, told from the logs of all hosts."""

from __future__ import annotations

import datetime as dt
import re
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

__all__ = ("LogLine", "explain_request", "parse_log_lines")

# A change of primary and what led to it lie within this time.
CONTEXT_WINDOW_S: Final = 8.0
_KEY_VALUE: Final = re.compile(r'(\w+)=("[^"]*"|\S*)')
_NAME_KEYS: Final = ("peer", "target", "group")
# What a host believed when it decided; the last one before counts.
_STATE_EVENTS: Final = {"started", "readiness", "control", "reloaded"}


@attrs.frozen(kw_only=True)
class LogLine:
    """One line of a log.

    :param at_s: time of day, in seconds
    """

    at_s: float
    host: str
    event: str
    fields: dict[str, str]
    text: str


def parse_log_lines(lines: Iterable[str]) -> list[LogLine]:
    """Read the lines of logs; what is none of ours is left out."""
    found = (_parse_line(line) for line in lines)
    return sorted(
        (line for line in found if line is not None),
        key=lambda line: line.at_s,
    )


def explain_request(request_id: str, lines: Sequence[LogLine]) -> list[str]:
    """Tell a request's story in time order.

    Its own lines, those about the targets and groups that they name,
    and what the hosts concerned believed before.

    :param lines: lines of all hosts, by time
    :return: texts of the lines; none where no log knows the request
    """
    own = [line for line in lines if line.fields.get("id") == request_id]
    if not own:
        return []
    first_s, last_s = (
        own[0].at_s - CONTEXT_WINDOW_S,
        own[-1].at_s + CONTEXT_WINDOW_S,
    )
    near = [line for line in lines if first_s <= line.at_s <= last_s]
    names = _names_in(own)
    # A group's lines name its targets and the other way round.
    names |= _names_in(line for line in near if names & _names_in([line]))
    hosts = {line.host for line in own}
    about = [
        line
        for line in near
        if line in own
        or ("id" not in line.fields and names & _names_in([line]))
    ]
    hosts |= {line.host for line in about}
    chosen = [*about, *_last_state_lines(lines, hosts, own[0].at_s)]
    unique = {id(line): line for line in chosen}
    ordered = sorted(unique.values(), key=lambda line: line.at_s)
    return [line.text for line in ordered]


def _last_state_lines(
    lines: Sequence[LogLine], hosts: set[str], before_s: float
) -> list[LogLine]:
    found: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        if line.at_s > before_s:
            break
        if line.host in hosts and line.event in _STATE_EVENTS:
            found[line.host, line.event] = line
    return list(found.values())


def _names_in(lines: Iterable[LogLine]) -> set[str]:
    return {
        line.fields[key]
        for line in lines
        for key in _NAME_KEYS
        if line.fields.get(key, "-") not in {"", "-", "control"}
    }


def _parse_line(line: str) -> LogLine | None:
    start = line.find("time=")
    if start < 0:
        return None
    text = line[start:].strip()
    fields = {key: value.strip('"') for key, value in _KEY_VALUE.findall(text)}
    try:
        at = dt.datetime.fromisoformat(fields["time"])
        return LogLine(
            at_s=at.timestamp(),
            host=fields["host"],
            event=fields["event"],
            fields=fields,
            text=text,
        )
    except (KeyError, ValueError):
        return None
