"""The two deployments that the demonstration can run."""

from __future__ import annotations

import enum
from typing import Final

import attrs

__all__ = ("DEPLOYMENTS", "CallKind", "ClassSpec", "Deployment", "Site")


class CallKind(enum.StrEnum):
    """Kind of a call in the workload."""

    WRITE = "write"
    KEYED_WRITE = "keyed-write"
    TRANSACTION = "transaction"
    FRESH_READ = "fresh-read"
    OWN_READ = "own-read"
    COUNT_READ = "count-read"


@attrs.frozen(kw_only=True)
class Site:
    """One data centre and its region.

    :param entry_hosts: number of entry hosts; the first one is also a
        control host
    """

    data_center: str
    region: str
    entry_hosts: int


@attrs.frozen(kw_only=True)
class ClassSpec:
    """One request class of the workload.

    :param weight: relative frequency among the calls
    :param stale_ms: maximum accepted age of the data, in milliseconds
    """

    name: str
    kind: CallKind
    weight: int
    stale_ms: int = 0
    priority: int = 5


@attrs.frozen(kw_only=True)
class Deployment:
    """One deployment with its delays and workload.

    All delays are in milliseconds.

    :param slots: number of statements that a target runs at once
    :param connections: maximum number of connections to a target
    :param center_delay_ms: one-way delay between data centres of a
        region
    :param region_delay_ms: one-way delay between regions
    :param client_delay_ms: one-way delay to clients
    :param connect_ms: cost of a new connection to a target
    :param lag_ms: replication lag
    """

    name: str
    tenant: str
    sites: tuple[Site, ...]
    groups: tuple[str, ...]
    slots: int
    connections: int
    center_delay_ms: float
    region_delay_ms: float
    client_delay_ms: float
    connect_ms: float
    lag_ms: float
    classes: tuple[ClassSpec, ...]


DEPLOYMENTS: Final = {
    "co-operative": Deployment(
        name="co-operative",
        tenant="lac-hong",
        sites=(
            Site(data_center="moc-chau", region="bac-bo", entry_hosts=3),
            Site(data_center="da-lat", region="tay-nguyen", entry_hosts=2),
            Site(data_center="tay-ninh", region="nam-bo", entry_hosts=2),
        ),
        groups=("hop-tac-db-1", "hop-tac-db-2", "hop-tac-db-3"),
        slots=5,
        connections=30,
        center_delay_ms=1.5,
        region_delay_ms=12.0,
        client_delay_ms=3.0,
        connect_ms=12.0,
        lag_ms=20.0,
        classes=(
            ClassSpec(
                name="booking",
                kind=CallKind.WRITE,
                weight=14,
                priority=0,
            ),
            ClassSpec(
                name="booking-with-payload",
                kind=CallKind.TRANSACTION,
                weight=4,
                priority=0,
            ),
            ClassSpec(
                name="deposit",
                kind=CallKind.KEYED_WRITE,
                weight=12,
                priority=0,
            ),
            ClassSpec(
                name="flight-status",
                kind=CallKind.FRESH_READ,
                weight=20,
                priority=2,
            ),
            ClassSpec(
                name="my-bookings",
                kind=CallKind.OWN_READ,
                weight=20,
                stale_ms=5_000,
            ),
            ClassSpec(
                name="telemetry-summary",
                kind=CallKind.COUNT_READ,
                weight=30,
                stale_ms=3_000,
                priority=7,
            ),
        ),
    ),
    "foundation": Deployment(
        name="foundation",
        tenant="credencial-abierta",
        sites=(
            Site(data_center="centro-a", region="centro", entry_hosts=3),
            Site(data_center="norte-a", region="norte", entry_hosts=2),
            Site(data_center="sur-a", region="sur", entry_hosts=2),
        ),
        groups=("ferias-1", "ferias-2", "ferias-3"),
        slots=2,
        connections=30,
        center_delay_ms=1.5,
        region_delay_ms=8.0,
        client_delay_ms=3.0,
        connect_ms=12.0,
        lag_ms=20.0,
        classes=(
            ClassSpec(
                name="registration",
                kind=CallKind.WRITE,
                weight=8,
                priority=0,
            ),
            ClassSpec(
                name="stand-confirmation",
                kind=CallKind.TRANSACTION,
                weight=2,
                priority=0,
            ),
            ClassSpec(
                name="print",
                kind=CallKind.KEYED_WRITE,
                weight=6,
                priority=0,
            ),
            ClassSpec(
                name="desk-check",
                kind=CallKind.FRESH_READ,
                weight=4,
                priority=1,
            ),
            ClassSpec(
                name="self-check",
                kind=CallKind.OWN_READ,
                weight=30,
                stale_ms=5_000,
            ),
            ClassSpec(
                name="phone-lookup",
                kind=CallKind.COUNT_READ,
                weight=50,
                stale_ms=3_000,
                priority=6,
            ),
        ),
    ),
}
