"""Set-up of the whole test run: limit of open files and log levels."""

from __future__ import annotations

from absl import logging

from rosemarysaddle._limits import raise_file_limit

raise_file_limit()
logging.set_verbosity(logging.ERROR)
logging.get_absl_logger().manager.getLogger("mysql_mimic").setLevel("CRITICAL")
