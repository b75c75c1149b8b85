"""Stops planners one after the other while versions are named."""

import asyncio
import json
import signal
import time

from judge import CONTACT_S, RECOVERY_S


class PlannerRelay:
    def __init__(self, soak):
        self.soak, self.judge = soak, soak.judge

    async def name_versions(self):
        while True:
            self.soak.target_version += 1
            await self.soak.store.put("op/version/m", json.dumps(
                {"model": "m", "version": self.soak.target_version}))
            await asyncio.sleep(0.5)

    async def run(self, stops):
        """Names versions all the time and stops each planner that has ordered
        an engine, `stops` times. The one before it is killed while it still
        exits, so that it starts again without a memory of its orders."""
        namer = asyncio.ensure_future(self.name_versions())
        stopped = None
        for _ in range(stops):
            planner, end = None, time.monotonic() + 2 * RECOVERY_S
            while planner is None and time.monotonic() < end:
                await asyncio.sleep(0.02)
                holder = self.soak.faults.planner()
                if holder not in (None, stopped) and any(
                        orders and orders[-1][1] == holder.name
                        for orders in self.judge.orders.values()):
                    planner = holder
            if planner is None:
                self.judge.fail("SOAK: no planner ordered an engine")
                break
            self.judge.record_fault(1, [planner.name])
            planner.send(signal.SIGTERM)
            if stopped:
                stopped.send(signal.SIGKILL)
            print(f"{time.monotonic() - self.soak.begin:7.2f} planner "
                  f"{planner.name} stopped", file=self.soak.events)
            self.judge.record_fault(-1, [planner.name])
            self.judge.counts["planners stopped"] += 1
            stopped = planner
        await asyncio.sleep(CONTACT_S)
        namer.cancel()
