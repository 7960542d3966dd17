"""What a node needs of the platform that it runs on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from rosemarysaddle.connection import TargetCodec
    from rosemarysaddle.decide import Answer
    from rosemarysaddle.session import CallerCodec

__all__ = ("Platform", "Promoter", "PromotionOrder", "TargetStatus")


@attrs.frozen(kw_only=True)
class TargetStatus:
    """Status that a target tells of itself.

    :param position: newest position that it has received
    """

    role: str
    term: int
    position: int


@attrs.frozen(kw_only=True)
class PromotionOrder:
    """Order that makes a target the primary of its group.

    :param holder: name of the control host that leads
    :param fencing_token: number that grows with each leader
    :param deadline_ns: time at which the order is given up
    """

    group: str
    target: str
    holder: str
    fencing_token: int
    deadline_ns: int


class Promoter(Protocol):
    """Whatever carries out a promotion."""

    def promote(
        self, order: PromotionOrder, *, may_send: Callable[[], bool]
    ) -> bool:
        """Give an order; called from a thread.

        :param may_send: asked right before the order is sent
        :return: whether the order was taken
        """


class Platform(Protocol):
    """Formats and calls of the platform."""

    def caller_codec(self) -> CallerCodec:
        """Build the codec of one caller's connection."""

    def target_codec(self) -> TargetCodec:
        """Build the codec of one connection to a target."""

    def read_status(self, answer: Answer) -> TargetStatus | None:
        """Decode a target's answer to the question for its status."""

    def promoter(self, address: str) -> Promoter:
        """Build the client that gives orders to promote."""

    def readiness_app(self, is_ready: Callable[[], bool]) -> Any:
        """Build the WSGI application for readiness checks."""

    def control_app(self, host: Any) -> Any:
        """Build the WSGI application for operators and targets."""

    def settings_path(self, environment: Mapping[str, str]) -> str:
        """Find the settings file."""
