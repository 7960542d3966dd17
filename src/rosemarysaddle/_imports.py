"""Imports of modules as on a Python without OpenSSL.

The links between the hosts of the users' platform are plain TCP.
Without OpenSSL, a host starts sooner and takes 5 MB less.
"""

from __future__ import annotations

import importlib
import sys
from typing import Final

__all__ = ("import_without_openssl",)

_OPENSSL_MODULES: Final = ("ssl", "_hashlib")


def import_without_openssl(*names: str) -> None:
    """Import modules that can do without OpenSSL.

    asyncio then offers no TLS, and hashlib and hmac use Python's own
    implementations.  Later imports of ``ssl`` succeed.  Not for
    ``http.client`` and ``urllib.request``, which would lack names that
    other packages import from them.

    Call it before the process starts threads, as they could not import
    ``ssl`` meanwhile.

    :param names: full names of the modules
    """
    missing = [m for m in _OPENSSL_MODULES if m not in sys.modules]
    for module_name in missing:
        # An entry of None makes the import of this module fail.
        sys.modules[module_name] = None  # type: ignore[assignment]
    try:
        for name in names:
            importlib.import_module(name)
    finally:
        for module_name in missing:
            del sys.modules[module_name]
