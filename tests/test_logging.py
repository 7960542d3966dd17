from __future__ import annotations

import io
import logging
import re
import threading
from typing import Any

from rosemarysaddle._events import MAX_LINES_PER_SECOND, EventLog
from rosemarysaddle._logging import (
    MAX_QUEUED_LINES,
    BackgroundLogHandler,
    LogfmtFormatter,
)


def _record(text: str) -> logging.LogRecord:
    return logging.LogRecord("x", logging.INFO, "", 0, text, (), None)


def _written(stream: io.StringIO, texts: list[str]) -> list[str]:
    writer = BackgroundLogHandler(stream)
    writer.setFormatter(LogfmtFormatter("h"))
    for text in texts:
        writer.emit(_record(text))
    writer.flush()
    return stream.getvalue().splitlines()


def test_line_names_time_level_host_and_event() -> None:
    (line,) = _written(io.StringIO(), ["event=started index=3"])

    assert line.startswith("time=")
    assert line.endswith("Z level=info host=h event=started index=3")


def test_line_of_a_library_becomes_a_message() -> None:
    (line,) = _written(io.StringIO(), ['said "no"\nand more'])

    assert line.endswith("event=message text=\"said 'no'\\nand more\"")


class _BlockedStream(io.StringIO):
    """Stream whose reader waits until it is let go."""

    def __init__(self) -> None:
        super().__init__()
        self.go = threading.Event()

    def write(self, text: str) -> int:
        self.go.wait(10)
        return super().write(text)


def test_slow_reader_costs_lines_and_never_blocks() -> None:
    stream = _BlockedStream()
    writer = BackgroundLogHandler(stream)
    writer.setFormatter(LogfmtFormatter("h"))

    for number in range(10 * MAX_QUEUED_LINES):
        writer.emit(_record(f"event=a number={number}"))
    stream.go.set()
    writer.flush()
    writer.emit(_record("event=b"))
    writer.flush()

    lines = stream.getvalue().splitlines()
    assert len(lines) <= MAX_QUEUED_LINES + 2
    # The writer may free one place while the burst still runs, so that
    # more than one line can carry a count.
    counts = re.findall(
        r" dropped_before=(\d+)$", "\n".join(lines), re.MULTILINE
    )
    assert sum(map(int, counts)) + len(lines) == 10 * MAX_QUEUED_LINES + 1


def test_closed_reader_does_not_end_the_writer() -> None:
    class _Closed(io.StringIO):
        def write(self, text: str) -> Any:
            del text
            raise BrokenPipeError

    assert _written(_Closed(), ["event=a", "event=b"]) == []


def test_events_stay_bounded_at_ten_times_the_load() -> None:
    written: list[str] = []
    events = EventLog(write=written.append)

    for second in range(3):
        for number in range(10 * MAX_LINES_PER_SECOND):
            at_ns = second * 1_000_000_000 + number
            events.log("refused", f"id={number}", at_ns)

    left_out = 10 * MAX_LINES_PER_SECOND - MAX_LINES_PER_SECOND
    told = f"event=left-out kind=refused count={left_out}"
    assert len(written) == 3 * MAX_LINES_PER_SECOND + 2
    assert written.count(told) == 2
