"""Ends jobs while their scoring calls find no room and instances stand still.
The judge reports calls that reach an upstream too long after the end."""

import asyncio
import random
import signal
import time

from judge import CANCEL_S, CONTACT_S

# How the plain services treat calls meanwhile; see Worker.refusal.
REFUSALS = ["full", "failing", "slow_failing"]
JOB_SIZE = 48
# Within this time the texts of a job are complete, and its scorings wait.
TEXT_TIME_S = 4.0
# Shorter than a lease, so that planners and feeders may keep their terms.
FREEZE_S = (1.8, 2.8)
# How long calls are watched after the services have room again.
WATCH_S = 2.5


class EndedJobs:
    def __init__(self, soak, seed):
        self.soak, self.judge = soak, soak.judge
        self.random = random.Random(seed)

    def log(self, text):
        print(f"{time.monotonic() - self.soak.begin:7.2f} {text}",
              file=self.soak.events)

    def set_refusal(self, refusal):
        for worker in self.soak.workers:
            if worker.service == "plain":
                worker.refusal = refusal

    def feeders(self):
        """The instances that pass on changes of the store to others."""
        names = {value[0].partition("/")[0]
                 for key, value in self.soak.store.values.items()
                 if key.startswith("c/term/~feed/")}
        return [node for node in self.soak.nodes if node.name in names]

    async def freeze(self, nodes):
        names = [node.name for node in nodes]
        seconds = self.random.uniform(*FREEZE_S)
        self.log(f"freeze {names} {seconds:.1f} s")
        self.judge.record_fault(1, names)
        for node in nodes:
            node.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        for node in nodes:
            node.send(signal.SIGCONT)
        self.judge.record_fault(-1, names)

    async def freeze_in_series(self):
        """Freezes some instances that don't plan, then perhaps others or the
        feeders."""
        planner = self.soak.faults.planner()
        others = [node for node in self.soak.nodes if node is not planner]
        await self.freeze(self.random.sample(
            others, self.random.randint(1, len(others))))
        again = self.random.choice([[], others[:1], self.feeders()])
        if again:
            await asyncio.sleep(self.random.uniform(0.2, 0.8))
            await self.freeze(again)

    async def end(self, job):
        while not job["ended_at"]:
            await self.soak.end(job)

    async def play_round(self):
        refusal = self.random.choice(REFUSALS)
        self.log(f"services are {refusal}")
        self.set_refusal(refusal)
        job = self.soak.make_job(JOB_SIZE)
        if not await self.soak.submit(job):
            self.judge.fail("SOAK: a job wasn't accepted in calm")
            return
        await asyncio.sleep(TEXT_TIME_S)
        freezes = asyncio.ensure_future(self.freeze_in_series())
        await asyncio.sleep(self.random.uniform(0.5, 5.0))
        await self.end(job)
        self.log(f"job {job['id']} has ended")
        await freezes
        ready = max(job["ended_at"] + CANCEL_S, self.judge.faults_ended_at())
        await asyncio.sleep(max(0.0, ready - time.monotonic()) + 0.3)
        self.log("services have room")
        self.set_refusal(None)
        await asyncio.sleep(WATCH_S)
        self.judge.counts["jobs ended without room"] += 1

    async def run(self, rounds):
        await asyncio.sleep(CONTACT_S)
        for _ in range(rounds):
            await self.play_round()
