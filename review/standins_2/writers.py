"""Writers, and the check of what was acknowledged to them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from sim import Client

if TYPE_CHECKING:
    from sim import Bed, Record, Service


class Writer:
    """Writes without a pause and keeps what was acknowledged."""

    def __init__(self, bed: Bed, number: int) -> None:
        self.bed, self.number = bed, number
        self.acked: dict[str, float] = {}
        self.client = Client(bed, f"w{number}", "book")

    async def run(self) -> None:
        """Write until cancelled."""
        turn = self.number
        while True:
            if self.client.writer is None:
                turn += 1
                node = self.bed.entries[turn % len(self.bed.entries)]
                if not (await self.client.open(node.ip)).startswith("READY"):
                    await asyncio.sleep(0.2)
                    continue
            request_id = self.client.next_id()
            answer, _, _ = await self.client.ask(request_id, "WRITE 1a4 x")
            self.bed.record(f"{request_id} WRITE: {answer}")
            if answer.startswith("DONE "):
                self.acked[request_id] = time.monotonic()
            await asyncio.sleep(0.05)


def judge_lost(record: Record, service: Service, writers: list[Writer]) -> int:
    """Check LOST for a service with ``syncReplicas``."""
    lost: list[str] = []
    for promotion in service.promotions:
        lost.extend(
            f"{request_id} is not in the log of {promotion['name']}"
            for w in writers
            for request_id, acked_s in w.acked.items()
            if acked_s < promotion["at_s"]
            and request_id not in promotion["ids"]
        )
    total = sum(len(w.acked) for w in writers)
    record(
        f"acknowledged {total}, promotions {len(service.promotions)},"
        f" acknowledged and not in the log of the promoted {len(lost)}"
    )
    for line in lost[:20]:
        record(f"LOST {line}")
    if not total:
        return 2
    return 1 if lost else 0
