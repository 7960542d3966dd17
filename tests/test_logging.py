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


def _log_lines(stream: io.StringIO, texts: list[str]) -> list[str]:
    writer = BackgroundLogHandler(stream)
    writer.setFormatter(LogfmtFormatter("h"))
    for text in texts:
        writer.emit(_record(text))
    writer.flush()
    return stream.getvalue().splitlines()


def test_format_adds_time_level_and_host() -> None:
    (line,) = _log_lines(io.StringIO(), ["event=started index=3"])

    assert line.startswith("time=")
    assert line.endswith("Z level=info host=h event=started index=3")


def test_format_wraps_library_text_as_message() -> None:
    (line,) = _log_lines(io.StringIO(), ['said "no"\nand more'])

    assert line.endswith("event=message text=\"said 'no'\\nand more\"")


class _BlockedStream(io.StringIO):
    """Stream whose writes block until ``resumed`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.resumed = threading.Event()

    def write(self, text: str) -> int:
        self.resumed.wait(10)
        return super().write(text)


def test_handler_drops_and_counts_lines_while_stream_blocks() -> None:
    stream = _BlockedStream()
    writer = BackgroundLogHandler(stream)
    writer.setFormatter(LogfmtFormatter("h"))

    for number in range(10 * MAX_QUEUED_LINES):
        writer.emit(_record(f"event=a number={number}"))
    stream.resumed.set()
    writer.flush()
    writer.emit(_record("event=b"))
    writer.flush()

    lines = stream.getvalue().splitlines()
    assert len(lines) <= MAX_QUEUED_LINES + 2
    # The writer thread may take a line from the queue during the
    # burst, so more than one line can carry a count.
    counts = re.findall(
        r" dropped_before=(\d+)$", "\n".join(lines), re.MULTILINE
    )
    assert sum(map(int, counts)) + len(lines) == 10 * MAX_QUEUED_LINES + 1


def test_handler_survives_closed_stream() -> None:
    class _Closed(io.StringIO):
        def write(self, text: str) -> Any:
            del text
            raise BrokenPipeError

    assert _log_lines(_Closed(), ["event=a", "event=b"]) == []


def test_event_log_limits_lines_per_second() -> None:
    written: list[str] = []
    events = EventLog(write=written.append)

    for second in range(3):
        for number in range(10 * MAX_LINES_PER_SECOND):
            now_ns = second * 1_000_000_000 + number
            events.log("refused", f"id={number}", now_ns)

    suppressed = 10 * MAX_LINES_PER_SECOND - MAX_LINES_PER_SECOND
    suppressed_line = f"event=left-out kind=refused count={suppressed}"
    assert len(written) == 3 * MAX_LINES_PER_SECOND + 2
    assert written.count(suppressed_line) == 2
