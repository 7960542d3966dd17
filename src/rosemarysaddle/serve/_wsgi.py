"""WSGI application of the API for callers."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final, Protocol

import attrs
from absl import logging

from rosemarysaddle.decide import Outcome, Reason, Refusal, Step
from rosemarysaddle.serve._answers import render_problem
from rosemarysaddle.serve._requests import MAX_BODY_BYTES
from rosemarysaddle.serve._service import PROBLEM_TYPE, ApiPath, HttpResponse

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from rosemarysaddle.serve._service import StatementService

__all__ = ("CallerApp",)

BEARER: Final = "Bearer "
_PATHS: Final = frozenset(
    {
        ApiPath.STATEMENTS,
        ApiPath.BEGIN,
        ApiPath.EXECUTE,
        ApiPath.COMMIT,
        ApiPath.ROLLBACK,
    }
)


class _StartResponse(Protocol):
    def __call__(
        self, status: str, headers: list[tuple[str, str]], /
    ) -> Callable[[bytes], object]:
        """Start the HTTP response."""


@attrs.frozen(kw_only=True)
class CallerApp:
    """WSGI application for statements and transactions."""

    service: StatementService

    def __call__(
        self, environ: dict[str, Any], start_response: _StartResponse
    ) -> Iterable[bytes]:
        """Serve one HTTP request."""
        try:
            reply = self._serve(environ)
        except Exception as error:  # noqa: BLE001 - boundary of a request
            logging.exception("event=defect step=execute")
            reply = _internal_error(error)
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
        ]
        if reply.retry_after_ms:
            seconds = -(-reply.retry_after_ms // 1_000)
            headers.append(("Retry-After", str(seconds)))
        status = HTTPStatus(reply.status)
        start_response(f"{status.value} {status.phrase}", headers)
        return [reply.body]

    def _serve(self, environ: dict[str, Any]) -> HttpResponse:
        path = environ.get("SCRIPT_NAME", "") + environ.get("PATH_INFO", "")
        if path not in _PATHS:
            return _bad_request(HTTPStatus.NOT_FOUND, "unknown path")
        if environ.get("REQUEST_METHOD") != "POST":
            return _bad_request(
                HTTPStatus.METHOD_NOT_ALLOWED, "method not allowed: use POST"
            )
        length_text = environ.get("CONTENT_LENGTH") or "0"
        length = int(length_text) if length_text.isdigit() else -1
        if not 0 <= length <= MAX_BODY_BYTES:
            return _bad_request(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                "request body too large, or its length is invalid",
            )
        data = environ["wsgi.input"].read(length)
        authorization = environ.get("HTTP_AUTHORIZATION", "")
        return self.service.handle(
            path,
            data,
            tenant=environ.get("HTTP_X_TENANT", ""),
            credential=authorization.removeprefix(BEARER),
        )


def _internal_error(error: Exception) -> HttpResponse:
    refusal = Refusal(
        reason=Reason.DEFECT,
        step=Step.EXECUTE,
        peer="proxy",
        outcome=Outcome.UNKNOWN,
        detail=type(error).__name__,
    )
    return HttpResponse(
        status=HTTPStatus.INTERNAL_SERVER_ERROR,
        content_type=PROBLEM_TYPE,
        body=render_problem(refusal),
    )


def _bad_request(status: HTTPStatus, detail: str) -> HttpResponse:
    refusal = Refusal(
        reason=Reason.BAD_REQUEST,
        step=Step.DECODE,
        peer="caller",
        detail=detail,
    )
    return HttpResponse(
        status=status, content_type=PROBLEM_TYPE, body=render_problem(refusal)
    )
