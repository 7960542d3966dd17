from __future__ import annotations

import subprocess
import sys

SCRIPT = """
import sys
from rosemarysaddle._imports import import_without_openssl
import_without_openssl("asyncio", "hashlib")
import asyncio
assert not {"ssl", "_ssl", "_hashlib"} & sys.modules.keys()
asyncio.run(asyncio.sleep(0))
import ssl, hashlib
ssl.create_default_context()
print(hashlib.sha256(b"").hexdigest()[:8])
"""


def test_openssl_can_be_imported_after_an_import_without_it() -> None:
    """Guards against a module that can never be imported."""
    output = subprocess.check_output([sys.executable, "-c", SCRIPT])  # noqa: S603

    assert output.decode().strip() == "e3b0c442"
