"""HTTP requests from and to the platform."""

from __future__ import annotations

import http
import json
import select
import socket
import struct
import time
from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle import _log as logging
from rosemarysaddle._clock import NS_PER_S, clock_ns
from rosemarysaddle._formats import parse_number
from rosemarysaddle.decide import NS_PER_MS
from rosemarysaddle.link import Address
from rosemarysaddle.node import OrderAnswer, TargetStatus
from rosemarysaddle.platform._announcements import (
    read_announcement,
    read_incarnation_ms,
    read_json_object,
)
from rosemarysaddle.platform._readiness import PATH_PREFIX
from rosemarysaddle.platform._wire import parse_point
from rosemarysaddle.schema import Announcement, SchemaFault

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from rosemarysaddle.decide import Answer
    from rosemarysaddle.node import PromotionOrder

__all__ = (
    "ControlApp",
    "PromotionClient",
    "read_status",
)

_ROLES: Final = {"primary", "replica"}
_MIN_STATUS_FIELDS: Final = 4
_CONNECT_TIMEOUT_S: Final = 1.0
_MIN_TIMEOUT_S: Final = 0.05
# How soon a host that leads no more resets a call.
_LEADER_CHECK_MS: Final = 100
# Limits the rest of an answer that has begun.
_READ_TIMEOUT_S: Final = 2.0


@attrs.frozen(kw_only=True)
class ControlApp:
    """WSGI application for operators and targets.

    :param host: control host that handles the requests
    """

    host: Any

    def __call__(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Answer one request."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        code, body = self._dispatch(environ, method, path)
        return _reply(start_response, code, body)

    def _dispatch(
        self, environ: Any, method: str, path: str
    ) -> tuple[int, Any]:
        if not self.host.is_available:
            return 503, {"error": "the disk of this control host fails"}
        decoded = _decode_path(path).removeprefix(PATH_PREFIX)
        parts = decoded.strip("/").split("/")
        match (method, parts):
            case ("POST", ["instances", target, "heartbeat"]):
                return self._heartbeat(target, _read_body(environ))
            case ("POST", ["instances", target, "leave"]):
                return self._leave(target, _read_body(environ))
            case ("POST", ["configuration", "replace"]):
                return self._replace(_read_body(environ))
            case ("GET", ["configuration", "get"]):
                plan = self.host.read_plan_from_thread()
                return (503, {}) if plan is None else (200, plan)
        return 404, {"error": "no such API call"}

    def _heartbeat(self, target: str, body: bytes) -> tuple[int, Any]:
        announcement = read_announcement(target, body, now_ms=_now_ms())
        if announcement is None:
            return 400, {
                "error": "malformed heartbeat: missing or invalid field"
            }
        is_known = self.host.confirm_group_from_thread(announcement)
        if is_known is None:
            return 503, {"error": "no leader to ask for the latest plan"}
        if not is_known:
            return 404, {"error": "unknown group: not in the route plan"}
        is_committed = self.host.announce_from_thread(announcement)
        return (200, {}) if is_committed else (503, {})

    def _leave(self, target: str, body: bytes) -> tuple[int, Any]:
        value = read_json_object(body or b"{}")
        if value is None:
            return 400, {"error": "request body is not a JSON object"}
        record = self.host.control.state.targets.records.get(target)
        if record is None:
            return 200, {}
        incarnation_ms = read_incarnation_ms(value, now_ms=_now_ms())
        if incarnation_ms is None:
            if "born" in value or not record.leaving:
                return 400, {"error": "malformed leave: invalid start time"}
            # Only a target that has announced its stop leaves.
            incarnation_ms = record.incarnation_ms
        announcement = Announcement(
            target=target,
            group=record.group,
            data_center=record.data_center,
            address=record.address,
            role="",
            term=0,
            position=0,
            leaving=True,
            identity="",
            incarnation_ms=incarnation_ms,
            gone=True,
        )
        is_committed = self.host.announce_from_thread(announcement)
        return (200, {}) if is_committed else (503, {})

    def _replace(self, body: bytes) -> tuple[int, Any]:
        try:
            text = body.decode()
        except UnicodeDecodeError:
            return 400, {"error": "request body is not valid UTF-8"}
        result = self.host.replace_plan_from_thread(text)
        if isinstance(result, SchemaFault):
            logging.info("event=plan-refused reason=%s", result)
            return 400, {"error": str(result)}
        if result is None:
            return 503, {}
        if result.path:
            # The leader could not read it.
            return 400, {"error": f"{result.path}: {result.reason}"}
        return (200, {}) if result.accepted else (503, {})


def read_status(answer: Answer) -> TargetStatus | None:
    """Decode the one row that answers a status request.

    The row holds role, term of the role, received position as
    ``term.position``, held term, lag, busy slots and connections.

    :return: the status, or None if the answer holds none
    """
    if answer.fault is not None or len(answer.rows) != 1:
        return None
    fields = answer.rows[0].split()
    if len(fields) < _MIN_STATUS_FIELDS or fields[0] not in _ROLES:
        return None
    term, point = parse_number(fields[1]), parse_point(fields[2])
    if term is None or point is None:
        return None
    return TargetStatus(
        role=fields[0],
        term=term,
        log_term=point.term,
        position=point.position,
    )


@attrs.frozen(kw_only=True)
class PromotionClient:
    """Client for the promotion call of the platform.

    :param address: IP address and port of the platform
    """

    address: str

    def promote(
        self, order: PromotionOrder, *, may_send: Callable[[], bool]
    ) -> OrderAnswer:
        """Send a promotion order and wait for its answer.

        If none arrives by the deadline for it, or once this host leads
        no more, the connection is reset, so that a delayed order cannot
        arrive after those of a later leader.  The platform may have
        read it all the same.

        An order that has waited for a thread until its deadline is not
        sent any more.
        """
        # Imports the packages for e-mail and TLS; CherryPy has imported
        # them on a control host that serves its API.
        import http.client  # noqa: PLC0415

        address = Address.parse(self.address)
        connection = http.client.HTTPConnection(
            address.ip,
            address.port,
            timeout=min(_left_s(order), _CONNECT_TIMEOUT_S),
        )
        body = json.dumps({"group": order.group, "identifier": order.target})
        headers = {
            "Content-Type": "application/json",
            "Duty-Holder": order.leader,
            "Fencing-Token": str(order.fencing_token),
        }
        was_sent = False
        status = 0
        try:
            connection.connect()
            connection.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            connection.sock.settimeout(_left_s(order))
            if clock_ns() >= order.deadline_ns or not may_send():
                return OrderAnswer.NOT_TAKEN
            was_sent = True
            connection.request("POST", "/promote", body, headers)
            _wait_for_answer(connection.sock, order, may_send)
            status = connection.getresponse().status
        except (OSError, http.client.HTTPException) as error:
            logging.info(
                "event=promotion-failed group=%s target=%s token=%d sent=%s"
                " reason=%r",
                order.group,
                order.target,
                order.fencing_token,
                was_sent,
                error,
            )
        finally:
            connection.close()
        answer = _read_order_answer(status, was_sent=was_sent)
        if status:
            logging.info(
                "event=promotion-answered group=%s target=%s token=%d"
                " status=%d answer=%s",
                order.group,
                order.target,
                order.fencing_token,
                status,
                answer.name.lower(),
            )
        return answer


def _wait_for_answer(
    connection: socket.socket,
    order: PromotionOrder,
    may_wait: Callable[[], bool],
) -> None:
    """Wait until the platform has begun to answer.

    :raises TimeoutError: if it has not by the deadline
    :raises ConnectionError: if the host leads no more
    """
    connection.settimeout(_READ_TIMEOUT_S)
    poll = select.poll()
    poll.register(connection, select.POLLIN)
    while clock_ns() < order.answer_deadline_ns:
        if poll.poll(_LEADER_CHECK_MS):
            return
        if not may_wait():
            message = "this host leads no more"
            raise ConnectionError(message)
    message = "no answer"
    raise TimeoutError(message)


def _left_s(order: PromotionOrder) -> float:
    left_s = (order.deadline_ns - clock_ns()) / NS_PER_S
    return max(_MIN_TIMEOUT_S, left_s)


def _read_order_answer(status: int, *, was_sent: bool) -> OrderAnswer:
    """Tell what the status of the platform's answer says of the order.

    :param status: HTTP status, 0 if there was no answer
    """
    if status == http.HTTPStatus.OK:
        return OrderAnswer.ACCEPTED
    if status == http.HTTPStatus.TOO_MANY_REQUESTS:
        return OrderAnswer.NOT_TAKEN
    is_error = status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
    if status and not is_error:
        return OrderAnswer.REFUSED
    # A server that fails may have carried out the order before.
    return OrderAnswer.UNKNOWN if was_sent else OrderAnswer.NOT_TAKEN


def _now_ms() -> int:
    return time.time_ns() // NS_PER_MS


def _decode_path(path: str) -> str:
    """Decode the bytes that WSGI passes on as Latin-1."""
    return path.encode("latin-1").decode(errors="surrogateescape")


def _read_body(environ: Any) -> bytes:
    body: bytes = environ["wsgi.input"].read()
    return body


def _reply(start_response: Any, code: int, body: Any) -> Iterable[bytes]:
    text = body if isinstance(body, str) else json.dumps(body)
    data = text.encode()
    reason = http.HTTPStatus(code).phrase
    start_response(
        f"{code} {reason}",
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ],
    )
    return [data]
