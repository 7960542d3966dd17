"""Logger of this package.

Used in place of absl.logging by the modules that a host needs at its
start, because absl.logging imports a parser of command lines.
"""

from __future__ import annotations

import logging
from typing import Final

__all__ = ("LOGGER", "error", "exception", "info", "warning")

# A child of absl's logger, so that it has the level that the commands
# set with absl.
LOGGER: Final = logging.getLogger("absl.rosemarysaddle")

info: Final = LOGGER.info
warning: Final = LOGGER.warning
error: Final = LOGGER.error
exception: Final = LOGGER.exception
