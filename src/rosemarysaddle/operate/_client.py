"""HTTP client for the administration API of one host."""

from __future__ import annotations

import http.client
import json
from typing import Any, Final

import attrs

from rosemarysaddle.link import Address

__all__ = ("AdminClient", "AdminFault")

REQUEST_TIMEOUT_S: Final = 15


@attrs.frozen(kw_only=True)
class AdminFault:
    """Failure of a request, returned in place of its result.

    :param peer: address of the host
    :param step: ``connect`` or ``request``
    :param reason: text of the error
    :param sent: whether the host may have received the request
    """

    peer: str
    step: str
    reason: str
    sent: bool

    def __str__(self) -> str:
        """Render the fault in one line."""
        return f"{self.peer}: {self.step}: {self.reason}"


@attrs.frozen(kw_only=True)
class AdminClient:
    """Client of one host.

    :param address: address of the host for callers and operators
    :param credential: bearer credential of the operator
    :param operator: name of the operator for the audit trail
    """

    address: str
    credential: str = attrs.field(repr=False)
    operator: str

    def request(
        self, method: str, path: str, body: Any = None
    ) -> tuple[int, Any] | AdminFault:
        """Send one request.

        :param body: value to send as JSON, or None for no body
        :return: HTTP status and decoded body, or the fault
        """
        address = Address.parse(self.address)
        connection = http.client.HTTPConnection(
            address.ip, address.port, timeout=REQUEST_TIMEOUT_S
        )
        headers = {
            "Authorization": f"Bearer {self.credential}",
            "X-Operator": self.operator,
            "Content-Type": "application/json",
        }
        try:
            connection.connect()
        except OSError as error:
            return self._fault("connect", error, sent=False)
        try:
            data = None if body is None else json.dumps(body)
            connection.request(method, path, body=data, headers=headers)
            response = connection.getresponse()
            return response.status, _decode(response.read())
        except (OSError, http.client.HTTPException) as error:
            return self._fault("request", error, sent=True)
        finally:
            connection.close()

    def _fault(self, step: str, error: Exception, *, sent: bool) -> AdminFault:
        return AdminFault(
            peer=self.address, step=step, reason=str(error), sent=sent
        )


def _decode(data: bytes) -> Any:
    try:
        return json.loads(data or b"null")
    except ValueError:
        return data.decode(errors="replace")
