"""Interface between a node and the platform that it runs on."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from rosemarysaddle.connection import TargetCodec
    from rosemarysaddle.decide import Answer
    from rosemarysaddle.session import CallerCodec

__all__ = (
    "OrderAnswer",
    "Platform",
    "Promoter",
    "PromotionOrder",
    "TargetStatus",
)


class OrderAnswer(enum.Enum):
    """Answer of the platform to an order."""

    ACCEPTED = enum.auto()
    """It takes effect soon, unless the target is lost meanwhile."""
    REFUSED = enum.auto()
    """It has no effect: the target cannot be promoted."""
    NOT_TAKEN = enum.auto()
    """It has no effect: the platform did not read it, or is busy."""
    UNKNOWN = enum.auto()
    """It was sent and not answered, and may take effect at any time."""


@attrs.frozen(kw_only=True)
class TargetStatus:
    """Status that a target reports of itself.

    :param role: ``primary`` or ``replica``
    :param term: term in which it has the role
    :param log_term: term of the position
    :param position: latest log position that it has received
    """

    role: str
    term: int
    log_term: int
    position: int


@attrs.frozen(kw_only=True)
class PromotionOrder:
    """Order to make a target the primary of its group.

    :param leader: name of the control leader
    :param fencing_token: number that increases with each new leader
    :param deadline_ns: monotonic time until which it may be sent, in
        nanoseconds
    :param answer_deadline_ns: monotonic time until which to wait for
        the answer, in nanoseconds
    """

    group: str
    target: str
    leader: str
    fencing_token: int
    deadline_ns: int
    answer_deadline_ns: int


class Promoter(Protocol):
    """Client that sends promotion orders to the platform."""

    def promote(
        self, order: PromotionOrder, *, may_send: Callable[[], bool]
    ) -> OrderAnswer:
        """Send a promotion order; called from a worker thread.

        :param may_send: whether this host still is the leader that
            gives the order; otherwise it is not sent, or not waited for
        """


class Platform(Protocol):
    """Protocols and API calls of the platform."""

    def caller_codec(self) -> CallerCodec:
        """Build the codec for the connection of one caller."""

    def target_codec(self) -> TargetCodec:
        """Build the codec for one connection to a target."""

    def read_status(self, answer: Answer) -> TargetStatus | None:
        """Decode the answer of a target to a status request.

        :return: the status, or None if the answer holds none
        """

    def promoter(self, address: str) -> Promoter:
        """Build the client that sends promotion orders.

        :param address: IP address and port of the platform
        """

    def readiness_app(self, is_ready: Callable[[], bool]) -> Any:
        """Build the WSGI application for readiness checks."""

    def control_app(self, host: Any) -> Any:
        """Build the WSGI application for operators and targets.

        :param host: control host that handles the requests
        """

    def settings_path(self, environment: Mapping[str, str]) -> str:
        """Return the path of the settings file.

        :param environment: environment variables of the process
        """
