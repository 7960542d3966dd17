"""HTTP API for operators, and for announcements of targets."""

from __future__ import annotations

import hashlib
import hmac
import json
from typing import TYPE_CHECKING, Any, Final, TypeVar

import cattrs
import cherrypy

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.decide import NS_PER_MS, DocumentKind
from rosemarysaddle.serve._admin_requests import (
    BodyFault,
    read_announcement,
    read_change,
)

if TYPE_CHECKING:
    from rosemarysaddle.daemon import HostDaemon
    from rosemarysaddle.observe import Metrics
    from rosemarysaddle.schema import ChangeReply

__all__ = ("AdminApp", "AnnouncementApp")

CHANGE_TIMEOUT_MS: Final = 8_000
MAX_NAME_CHARS: Final = 64
_JSON: Final = "application/json"

T = TypeVar("T")


class AdminApp:
    """CherryPy handlers of the administration API under ``/admin``."""

    def __init__(self, *, daemon: HostDaemon, metrics: Metrics) -> None:
        self._daemon = daemon
        self._metrics = metrics

    @cherrypy.expose
    def status(self) -> bytes:
        """Return the state of this host."""
        return _render(self._daemon.report())

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Return the request metrics of this host."""
        return _render(self._metrics.report())

    @cherrypy.expose
    def documents(self, kind: str) -> bytes:
        """Return a document in force, or change it with POST.

        :param kind: ``inventory`` or ``rules``
        """
        if cherrypy.request.method == "POST":
            return self._change(kind)
        if kind not in {DocumentKind.INVENTORY, DocumentKind.RULES}:
            raise cherrypy.HTTPError(
                404, "unknown document: use inventory or rules"
            )
        state = self._daemon.shared_node.node.state
        document: Any = state.rules
        if kind == DocumentKind.INVENTORY:
            document = state.inventory.document()
        return _render(
            {
                "version": state.version_of(kind),
                "document": cattrs.unstructure(document),
            }
        )

    @cherrypy.expose
    def history(self) -> bytes:
        """Return the accepted changes."""
        history = self._daemon.shared_node.node.state.history
        return _render([cattrs.unstructure(r) for r in history])

    @cherrypy.expose
    def switchover(self, group: str, target: str) -> bytes:
        """Order a switchover of a group to another primary.

        :param target: instance to promote
        """
        self._authorize()
        _require_post()
        leader = self._daemon.switch_over(group, target)
        cherrypy.response.status = 202 if leader else 503
        return _render({"leader": leader})

    def _change(self, kind: str) -> bytes:
        author = self._authorize()
        change = _require_valid(
            read_change(cherrypy.request.body.read(), kind=kind, author=author)
        )
        deadline_ns = clock_ns() + CHANGE_TIMEOUT_MS * NS_PER_MS
        reply = self._daemon.propose_from_thread(
            change, deadline_ns=deadline_ns
        )
        return _answer_change(reply)

    def _authorize(self) -> str:
        headers = cherrypy.request.headers
        text = headers.get("Authorization", "").removeprefix("Bearer ")
        digest = hashlib.sha256(text.encode()).hexdigest()
        expected = self._daemon.settings.admin_credential_sha256
        if not expected or not hmac.compare_digest(digest, expected):
            raise cherrypy.HTTPError(401, "invalid operator credential")
        return str(headers.get("X-Operator", "operator"))[:MAX_NAME_CHARS]


class AnnouncementApp:
    """CherryPy handler under ``/announcements``."""

    def __init__(self, *, daemon: HostDaemon) -> None:
        self._daemon = daemon

    @cherrypy.expose
    def index(self) -> bytes:
        """Accept the announcement of a target."""
        _require_post()
        announcement = read_announcement(cherrypy.request.body.read())
        self._daemon.announce(_require_valid(announcement))
        return _render({"accepted": True})


def _answer_change(reply: ChangeReply | None) -> bytes:
    if reply is None:
        cherrypy.response.status = 503
        return _render({"outcome": "unknown", "reason": "no-control-leader"})
    if not reply.accepted:
        cherrypy.response.status = 409
    return _render(
        {
            "outcome": "done" if reply.accepted else "not-run",
            "version": reply.version,
            "reason": reply.reason,
            "path": reply.path,
        }
    )


def _require_post() -> None:
    if cherrypy.request.method != "POST":
        raise cherrypy.HTTPError(405, "method not allowed: use POST")


def _require_valid(body: T | BodyFault) -> T:
    if isinstance(body, BodyFault):
        raise cherrypy.HTTPError(400, body.reason)
    return body


def _render(value: Any) -> bytes:
    cherrypy.response.headers["Content-Type"] = _JSON
    return json.dumps(value).encode()
