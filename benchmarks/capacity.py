"""Measures the slopes and writes docs/CAPACITY.md from them.

Run ``python -m benchmarks.capacity``.  The constants give the size
that the deployment has in two years, and the limits set by the users.
"""

from __future__ import annotations

import string
from pathlib import Path
from typing import TYPE_CHECKING, Final

import attrs

from benchmarks import slopes

if TYPE_CHECKING:
    from collections.abc import Mapping

DAEMONS: Final = 2_600
DATABASES: Final = 32_000
INSTANCES: Final = 3 * DATABASES
DATA_CENTER_COUNT: Final = 13
CONNECTIONS_PER_DAEMON: Final = 4_615
STATEMENTS_PER_S: Final = 1_077
CHANGES_PER_DAY: Final = 25_000
RESTARTS_PER_DAY: Final = 2_500
DAY_S: Final = 86_400
RENEWAL_INTERVAL_S: Final = 0.4
PACKET_OVERHEAD_BYTES: Final = 40
LINK_BYTES_PER_S: Final = 125_000_000
STATUS_INTERVAL_S: Final = 0.45
ANNOUNCE_HANDLER_CPU_S: Final = 1.7e-3
IN_FORCE_LIMIT_S: Final = 8
ANNOUNCE_INTERVAL_S: Final = 1.0
CPU_LIMIT_CORES: Final = 0.024
MEMORY_LIMIT_BYTES: Final = 256_000_000
TRAFFIC_LIMIT_BYTES_PER_S: Final = 2_000
FOLDER: Final = Path(__file__).parent
PAGE: Final = FOLDER.parent / "docs" / "CAPACITY.md"


@attrs.frozen(kw_only=True)
class Measurements:
    """Measured lines and single values, by name.

    :param fits: lines fitted to the values at several sizes
    :param constants: single values, with the unit at the end of the
        name
    """

    fits: Mapping[str, slopes.Slope]
    constants: Mapping[str, float]

    def estimate(self, name: str, size: float) -> float:
        """Return the value of a fitted line at a size."""
        line = self.fits[name]
        return line.base + line.each * size

    def largest(self, name: str) -> float:
        """Return the value measured at the largest size."""
        return self.fits[name].values[-1]


def derive_figures(measurements: Measurements) -> dict[str, float]:
    """Compute the figures of the page from the measurements."""
    constants = measurements.constants
    message_us = constants["message and answer, both ends us"] / 2
    changes_s = CHANGES_PER_DAY / DAY_S
    renewal_b = (
        constants["renewal B"]
        + constants["grant B"]
        + 3 * PACKET_OVERHEAD_BYTES
    )
    change_b = (
        constants["change of one database B"] + 2 * PACKET_OVERHEAD_BYTES
    )
    snapshot_b = measurements.largest("snapshot size")
    patch_us = measurements.largest("patch applied, by databases")
    state_b = measurements.largest("state of a database at a host")
    spread_us = measurements.estimate(
        "change spread to all hosts, without sockets", DAEMONS
    )
    spread_us += DAEMONS * message_us / 2
    renewals_s = DAEMONS / RENEWAL_INTERVAL_S
    watch_us = constants["status of a target, reader us"]
    watch_share = watch_us / 1e6 / STATUS_INTERVAL_S
    view_b = measurements.fits["watch view of a database"].each
    connection_b = (
        measurements.fits["caller connection"].each * CONNECTIONS_PER_DAEMON
    )
    renewal_cpu = message_us * 1e-6 / RENEWAL_INTERVAL_S
    control_cpu = renewal_cpu + changes_s * (patch_us + message_us) * 1e-6
    base_b = constants["resident B of the benchmark at its start"]
    return {
        "message_us": message_us,
        "renewals_s": renewals_s,
        "leader_renewal_cpu": renewals_s * message_us * 1e-6,
        "leader_kb_s": renewals_s * renewal_b / 1e3,
        "daemon_b_s": renewal_b / RENEWAL_INTERVAL_S + changes_s * change_b,
        "restart_b_s": snapshot_b * RESTARTS_PER_DAY / DAEMONS / DAY_S,
        "daemon_control_cpu": control_cpu,
        "daemon_state_b": state_b,
        "daemon_memory_b": base_b + state_b + connection_b,
        "base_b": base_b,
        "connections_b": connection_b,
        "snapshot_b": snapshot_b,
        "snapshot_write_ms": measurements.largest("snapshot written") / 1e3,
        "snapshot_read_ms": measurements.largest("snapshot read") / 1e3,
        "spread_ms": spread_us / 1e3,
        "spread_mb": DAEMONS * change_b / 1e6,
        "burst_s": 100 * spread_us / 1e6,
        "watch_cpu": watch_share,
        "watches_allowed": CPU_LIMIT_CORES / watch_share,
        "databases_allowed": CPU_LIMIT_CORES / watch_share / 3,
        "all_watches_cpu": INSTANCES * watch_share,
        "all_views_b": DATABASES * view_b,
        "announcements_s": INSTANCES / ANNOUNCE_INTERVAL_S,
        "announcements_daemon_s": INSTANCES / ANNOUNCE_INTERVAL_S / DAEMONS,
        "announce_cpu": INSTANCES
        / ANNOUNCE_INTERVAL_S
        / DAEMONS
        * ANNOUNCE_HANDLER_CPU_S,
        # Unchanged announcements are forwarded every 3 s.
        "announce_control_cpu": INSTANCES / 3.0 * message_us * 1e-6,
        "rack_s": 40 * snapshot_b / LINK_BYTES_PER_S,
        "center_s": DAEMONS
        / DATA_CENTER_COUNT
        * snapshot_b
        / LINK_BYTES_PER_S,
        "log_day_mb": CHANGES_PER_DAY
        * measurements.fits["log entry in memory"].each
        / 1e6,
        "append_ms": constants["journal append and sync us"] / 1e3,
        "journal_read_ms": measurements.largest("journal read at the start")
        / 1e3,
        "route_us": measurements.largest("route, replicas far behind"),
        "ticket_us": constants["write begun and ended us"],
        "token_us": constants["token signed us"]
        + constants["token verified us"],
        "decision_cpu": STATEMENTS_PER_S
        * 1e-6
        * (
            measurements.largest("route, replicas far behind")
            + constants["write begun and ended us"]
            + constants["token signed us"]
            + constants["token verified us"]
        ),
        "patch_us": patch_us,
        "loan_us": constants["frames of a loan, both ends us"],
        "neighbours_b": measurements.largest("neighbour list"),
        "neighbours_b_s": measurements.largest("neighbour list")
        * 2
        * RESTARTS_PER_DAY
        / DATA_CENTER_COUNT
        / DAY_S,
        "neighbours_cpu": measurements.largest(
            "neighbour list rendered at the leader"
        )
        * 2
        * DATA_CENTER_COUNT
        / 1e6,
        "center_groups": INSTANCES / DATA_CENTER_COUNT / 3,
        "center_change_s": INSTANCES
        / DATA_CENTER_COUNT
        / 3
        * 2
        * spread_us
        / 1e6,
        "center_change_gb": INSTANCES
        / DATA_CENTER_COUNT
        / 3
        * 2
        * DAEMONS
        * change_b
        / 1e9,
        "restarts_s": RESTARTS_PER_DAY * snapshot_b / LINK_BYTES_PER_S,
        "control_ratio": control_cpu / CPU_LIMIT_CORES,
        "watch_ratio": INSTANCES * watch_share / CPU_LIMIT_CORES,
        "announce_ratio": INSTANCES
        / ANNOUNCE_INTERVAL_S
        / DAEMONS
        * ANNOUNCE_HANDLER_CPU_S
        / CPU_LIMIT_CORES,
        "memory_ratio": (base_b + state_b + connection_b) / MEMORY_LIMIT_BYTES,
        "bytes_ratio": (
            renewal_b / RENEWAL_INTERVAL_S
            + changes_s * change_b
            + snapshot_b * RESTARTS_PER_DAY / DAEMONS / DAY_S
        )
        / TRAFFIC_LIMIT_BYTES_PER_S,
        "spread_ratio": spread_us / 1e6 / IN_FORCE_LIMIT_S,
        "center_ratio": DAEMONS
        / DATA_CENTER_COUNT
        * snapshot_b
        / LINK_BYTES_PER_S
        / IN_FORCE_LIMIT_S,
        "tick_us": measurements.largest("leader tick, by databases"),
    }


def render_table(measurements: Measurements) -> str:
    """Render the measurements as Markdown tables."""
    rows = [
        "| what | unit | sizes | values | for one more | error |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for fit in measurements.fits.values():
        sizes = ", ".join(f"{s:,}" for s in fit.sizes)
        values = ", ".join(f"{v:,.4g}" for v in fit.values)
        rows.append(
            f"| {fit.name} | {fit.unit} | {sizes} | {values}"
            f" | {fit.each:.3g} | {fit.error:.1%} |"
        )
    rows.extend(["", "| single call or message | value |", "| --- | --- |"])
    rows.extend(
        f"| {n} | {v:,.4g} |" for n, v in measurements.constants.items()
    )
    return "\n".join(rows)


def main() -> None:
    """Measure, compute the figures and write the page."""
    fits, constants = slopes.measure()
    measurements = Measurements(
        fits={f.name: f for f in fits}, constants=constants
    )
    values = {
        k: _format_number(v) for k, v in derive_figures(measurements).items()
    }
    for name, value in derive_figures(measurements).items():
        values[f"{name}_pct"] = f"{value * 100:.3g} %"
        values[f"{name}_mb"] = f"{value / 1e6:.3g} MB"
    template = (FOLDER / "capacity.md.in").read_text(encoding="utf-8")
    page = string.Template(template).substitute(
        values, slopes=render_table(measurements)
    )
    PAGE.write_text(page, encoding="utf-8")
    print(f"wrote {PAGE.name}")


def _format_number(value: float) -> str:
    return f"{value:,.0f}" if value >= 100 else f"{value:.3g}"


if __name__ == "__main__":
    main()
