"""Callers that read results of any job: from any position, at any instance,
with and without a wait, also after the job's end and after restarts."""

import asyncio
import time

from workers import event_text, events_of

READERS = 6
WAIT_MS = 1000
# A read without a wait always reads the store or asks the planner; most callers
# wait.
NO_WAIT_SHARE = 0.2
# How much longer than its wait a caller waits for the answer.
PATIENCE_S = 1.5


class Readers:
    def __init__(self, soak):
        self.soak, self.judge, self.random = soak, soak.judge, soak.random

    def tasks(self):
        return [self.read_any() for _ in range(READERS)] + [
            self.repeat_calls()]

    def known_jobs(self):
        return [job for job in self.judge.jobs.values()
                if self.judge.rows[job["id"]]]

    async def read_any(self):
        while not self.soak.is_over:
            jobs = self.known_jobs()
            if jobs:
                # Most reads are for jobs that change.
                job = self.random.choice(jobs[-4:] if self.random.random() < 0.7
                                         else jobs)
                await self.read(
                    job, self.random.choice(self.soak.nodes),
                    self.random.randint(0, len(self.judge.rows[job["id"]])),
                    0 if self.random.random() < NO_WAIT_SHARE else WAIT_MS)
            await asyncio.sleep(self.random.uniform(0.02, 0.2))

    async def read(self, job, node, first, wait_ms):
        sent_at = time.monotonic()
        status, _, body = await self.soak.send(
            "GET", f"http://{node.ip}:8161/savorydock/lots/{job['id']}"
            f"?after={first}", {"Wait-Ms": str(wait_ms)},
            timeout=wait_ms / 1000 + PATIENCE_S)
        self.judge.counts["reads" if status == 200 else "reads failed"] += 1
        page = self.judge.parse_page(job, body) if status == 200 else None
        if page:
            self.judge.on_page(job, first, page, event_text, events_of)
            if not page["results"]:
                self.judge.on_empty_page(job, first, node.name, sent_at,
                                         self.soak.calm_since(node))
        elif status in (404, 410):
            self.judge.fail(f"LOST: {status} for job {job['id']}")

    async def repeat_calls(self):
        """Sends submissions and ends of jobs again."""
        while not self.soak.is_over:
            jobs = self.known_jobs()[-4:]
            if jobs:
                job = self.random.choice(jobs)
                if job["ended_at"]:
                    await self.soak.end(job)
                else:
                    await self.soak.send("POST", self.soak.url("/job/s"), {
                        "Request-Id": job["id"],
                        "Content-Type": "application/json"}, job["body"])
            await asyncio.sleep(self.random.uniform(0.1, 0.5))

    async def read_everywhere(self):
        """Reads each known position range of each job at each instance, with a
        wait."""
        for job in self.known_jobs():
            last = len(self.judge.rows[job["id"]]) - 1
            await asyncio.gather(*(
                self.read(job, node, first, WAIT_MS)
                for node in self.soak.nodes for first in {0, last}))
