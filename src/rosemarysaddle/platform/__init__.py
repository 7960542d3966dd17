"""Adapter for the users' platform: wire protocol and HTTP API.

It makes no decisions, and no other package knows the names that the
platform uses.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import attrs

from rosemarysaddle.platform._readiness import readiness_app
from rosemarysaddle.platform._wire import CallerLineCodec, TargetLineCodec

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from rosemarysaddle.decide import Answer
    from rosemarysaddle.node import Promoter, TargetStatus
    from rosemarysaddle.session import CallerCodec

__all__ = ("CallerLineCodec", "TargetLineCodec", "UsersPlatform")

_SETTINGS_VARIABLE: Final = "ROSEMARYSADDLE_NODE_FILE"


@attrs.frozen(kw_only=True)
class UsersPlatform:
    """Implementation of the node's interface to the platform.

    What only control hosts use is imported when they use it.
    """

    def caller_codec(self) -> CallerCodec:
        """Build the codec for the connection of one caller."""
        return CallerLineCodec()

    def target_codec(self) -> TargetLineCodec:
        """Build the codec for one connection to a target."""
        return TargetLineCodec()

    def read_status(self, answer: Answer) -> TargetStatus | None:
        """Decode the answer of a target to a status request."""
        from rosemarysaddle.platform._http import read_status  # noqa: PLC0415

        return read_status(answer)

    def promoter(self, address: str) -> Promoter:
        """Build the client that sends promotion orders."""
        from rosemarysaddle.platform._http import (  # noqa: PLC0415
            PromotionClient,
        )

        return PromotionClient(address=address)

    def readiness_app(self, is_ready: Callable[[], bool]) -> Any:
        """Build the WSGI application for readiness checks."""
        return readiness_app(is_ready)

    def control_app(self, host: Any) -> Any:
        """Build the WSGI application for operators and targets."""
        from rosemarysaddle.platform._http import ControlApp  # noqa: PLC0415

        return ControlApp(host=host)

    def settings_path(self, environment: Mapping[str, str]) -> str:
        """Return the path of the settings file."""
        return environment[_SETTINGS_VARIABLE]
