"""Network addresses of the form ``ip:port``."""

from __future__ import annotations

import attrs

__all__ = ("Address",)


@attrs.frozen(kw_only=True)
class Address:
    """IP address and TCP port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``ip:port``.

        :raises ValueError: if the port is not a number
        """
        ip, _, port = text.rpartition(":")
        return cls(ip=ip, port=int(port))

    def __str__(self) -> str:
        """Render as ``ip:port``."""
        return f"{self.ip}:{self.port}"
