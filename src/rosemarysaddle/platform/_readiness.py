"""Readiness check of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ("PATH_PREFIX", "readiness_app")

PATH_PREFIX: Final = "/rosemarysaddle"


def readiness_app(is_ready: Callable[[], bool]) -> Any:
    """Build the WSGI application for readiness checks."""

    def app(environ: Any, start_response: Any) -> Iterable[bytes]:
        is_ok = (
            environ["PATH_INFO"] == f"{PATH_PREFIX}/readiness" and is_ready()
        )
        status = "200 OK" if is_ok else "503 Service Unavailable"
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", "2"),
        ]
        start_response(status, headers)
        return [b"{}"]

    return app
