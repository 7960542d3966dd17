"""Client of the administration API of one host."""

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
    """Sentinel for a request to a host that failed.

    :param sent: whether the host may have got the request
    """

    peer: str
    step: str
    reason: str
    sent: bool

    def __str__(self) -> str:
        """Render as one line."""
        return f"{self.peer}: {self.step}: {self.reason}"


@attrs.frozen(kw_only=True)
class AdminClient:
    """Talks to one host.

    :param address: its address for callers and operators
    :param credential: credential of the operator
    :param operator: name for the audit trail
    """

    address: str
    credential: str = attrs.field(repr=False)
    operator: str

    def request(
        self, method: str, path: str, body: Any = None
    ) -> tuple[int, Any] | AdminFault:
        """Make one request.

        :return: HTTP status and decoded body, or what failed
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
            answer = connection.getresponse()
            return answer.status, _decode(answer.read())
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
