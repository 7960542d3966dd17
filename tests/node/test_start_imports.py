from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
# Packages that a start of a host does not use, and their dependencies.
SLOW = {
    "_hashlib",
    "absl",
    "argparse",
    "cattrs",
    "cheroot",
    "cherrypy",
    "email",
    "http.client",
    "jsonschema",
    "prometheus_client",
    "pyjson5",
    "referencing",
    "rosemarysaddle.web",
    "ssl",
    "urllib.request",
}
CONTROL_ONLY = {
    "http",
    "pathlib",
    "rosemarysaddle.decide._control",
    "rosemarysaddle.decide.control_log._log",
    "rosemarysaddle.store",
    "rosemarysaddle.platform._http",
}
# Runs what the launcher does up to the event loop, with settings as the
# platform writes them.
SCRIPT = """
import json, sys
sys.path.insert(0, sys.argv[2])
import launch
launch.import_packages()
import rosemarysaddle.platform
from rosemarysaddle.node import _main
from rosemarysaddle.schema import Node, load_file
settings = load_file(Node, sys.argv[1])
assert isinstance(settings, Node), settings
_main._build_host(settings, rosemarysaddle.platform.UsersPlatform(), 0)
print(json.dumps(sorted(sys.modules)))
"""


def _imported_modules(tmp_path: Path, role: str) -> set[str]:
    settings = {
        "host": "h",
        "role": role,
        "data_center": "dc",
        "region": "r",
        "ip": "127.0.0.1",
        "peers_port": 7_440,
        "seeds": ["127.0.0.1:8782"],
    }
    path = tmp_path / "settings.json"
    path.write_text(f"// Settings\n{json.dumps(settings)}", encoding="utf-8")
    result = subprocess.run(  # noqa: S603
        [sys.executable, "-c", SCRIPT, str(path), str(ROOT / "deploy")],
        env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 0, result.stderr
    return set(json.loads(result.stdout))


@pytest.mark.parametrize(
    ("role", "unwanted"),
    [
        pytest.param("entry", SLOW | CONTROL_ONLY, id="entry"),
        pytest.param("control", SLOW, id="control"),
    ],
)
def test_start_imports_nothing_that_it_does_not_use(
    tmp_path: Path, role: str, unwanted: set[str]
) -> None:
    """Guards against an import that makes each start slower."""
    assert not _imported_modules(tmp_path, role) & unwanted
