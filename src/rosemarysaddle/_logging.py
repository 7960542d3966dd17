"""Logging in logfmt from a background thread.

A slow or closed log reader never blocks the threads that serve; lines
are dropped and counted instead.
"""

from __future__ import annotations

import logging
import queue
import sys
import threading
import time
from typing import TYPE_CHECKING, Final

from rosemarysaddle._log import LOGGER

if TYPE_CHECKING:
    from typing import TextIO

__all__ = ("BackgroundLogHandler", "LogfmtFormatter", "set_up_logging")

# One second of the most lines that all event kinds together may log.
MAX_QUEUED_LINES: Final = 1_000
_LEVELS: Final = {"WARNING": "warning", "CRITICAL": "error"}


class LogfmtFormatter(logging.Formatter):
    """Formats a record as ``key=value`` pairs (logfmt).

    Messages of this package are such pairs already.  Messages of
    libraries become ``event=message`` with the text in quotes.

    :param host: name of this host
    """

    def __init__(self, host: str) -> None:
        super().__init__()
        self._host = host

    def format(self, record: logging.LogRecord) -> str:
        """Format one record as one line."""
        timestamp = time.strftime(
            "%Y-%m-%dT%H:%M:%S", time.gmtime(record.created)
        )
        level = record.levelname
        text = record.getMessage()
        if not text.startswith("event="):
            text = f"event=message text={_quoted(text)}"
        if record.exc_info:
            text += f" trace={_quoted(self.formatException(record.exc_info))}"
        return (
            f"time={timestamp}.{int(record.msecs):03d}Z"
            f" level={_LEVELS.get(level, level.lower())}"
            f" host={self._host} {text}"
        )


class BackgroundLogHandler(logging.Handler):
    """Log handler that writes lines in a background thread.

    Lines are dropped while the queue is full; the next line that is
    queued reports their number as ``dropped_before``.

    :param stream: stream to write to
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__()
        self._stream = stream
        self._queue: queue.Queue[str] = queue.Queue(MAX_QUEUED_LINES)
        self._dropped = 0
        self._thread = threading.Thread(
            target=self._write_forever, name="log", daemon=True
        )
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line; drop and count it if the queue is full."""
        line = self.format(record)
        try:
            if self._dropped:
                annotated = f"{line} dropped_before={self._dropped}"
                self._queue.put_nowait(annotated)
                self._dropped = 0
            else:
                self._queue.put_nowait(line)
        except queue.Full:
            self._dropped += 1

    def flush(self) -> None:
        """Wait until all queued lines are written; called at exit."""
        self._queue.join()

    def _write_forever(self) -> None:
        while True:
            line = self._queue.get()
            try:
                self._stream.write(f"{line}\n")
                self._stream.flush()
            except (OSError, ValueError):
                # The log's reader is gone; the process keeps serving.
                pass
            finally:
                self._queue.task_done()


def set_up_logging(host: str) -> None:
    """Send all logs of this process to standard output.

    :param host: name of this host, part of each line
    """
    handler = BackgroundLogHandler(sys.stdout)
    handler.setFormatter(LogfmtFormatter(host))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    LOGGER.setLevel(logging.INFO)


def _quoted(text: str) -> str:
    escaped = text.replace("\\", "\\\\").replace('"', "'")
    return '"' + escaped.replace("\n", "\\n") + '"'
