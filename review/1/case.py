"""The reply to a read of results that a process made before it was killed is
taken for the reply to a read of the process that follows it."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness import (BROKEN, HELD, CannotRun, event_count, make_job, new_id,
                     read_job, run, submit)

RESTART_S = 0.3          # the platform restarts a killed process soon
ITEMS = 4
ROUTES = [
    {"name": "plan-draft", "prefix": "/plan/", "service": "model-barge",
     "route_type": "rollout", "max_attempts": 3, "timeout_ms": 10000,
     "target_latency_ms": 400, "run_target_ms": 7500, "queue_ttl_s": 40,
     "priority": 1}]


def make_even_job(shortest, longest):
    """A job whose items all have about the same number of events."""
    job = make_job("m0", "/plan/", ITEMS)
    for row in job["body"]["items"]:
        while not shortest <= event_count(row["id"]) <= longest:
            row["id"] = new_id()
    job["items"] = [row["id"] for row in job["body"]["items"]]
    return job


async def play_round(case, node, other):
    """Two jobs are read through `node`, which is killed between the reads.
    Returns the foreign results that a client got."""
    first, second = make_even_job(16, 17), make_even_job(38, 42)
    for job in (first, second):
        answer = await submit(other, job, "/plan/")
        case.note(f"job {job['id']} with items {' '.join(job['items'])}: "
                  f"{answer.status}")
        if answer.status != 202:
            raise CannotRun(f"a job was answered {answer.status}")
    await asyncio.sleep(0.3)
    begin = case.now()
    reading = asyncio.ensure_future(read_job(node, first, 0, wait_ms=1000))
    await asyncio.sleep(0.1)
    if case.has_trouble:
        node.send(signal.SIGKILL)
        case.note(f"{node.name} is killed while it reads job {first['id']}")
        await asyncio.sleep(RESTART_S)
        node.start()
        await asyncio.sleep(0.2)
    foreign, rows = [], []
    while case.now() < begin + 6 and len(rows) < ITEMS:
        answer = await read_job(node, second, len(rows), wait_ms=1000)
        if answer.status == 200:
            page = answer.json()["results"]
            case.note(f"{node.name} answers the read of job {second['id']} "
                      f"after {len(rows)} with "
                      f"{[row['id'] for row in page]}")
            foreign += [row["id"] for row in page
                        if row["id"] not in second["items"]]
            rows += page
        else:
            await asyncio.sleep(0.05)
    await reading
    return foreign


async def play(case):
    await case.start_store()
    for at in range(3):
        await case.add_worker("model-barge", f"z{at}", 8, ("m0",),
                              event_s=0.07)
    await case.configure(ROUTES, [
        {"name": "model-barge", "health_path": "/health", "max_conns": 140,
         "engine": {"slots": 8, "kv_token_cap": 81136, "stride": 51,
                    "models": [{"name": "m0"}]}}])
    await case.add_nodes(["z0", "z1", "z2"])
    await asyncio.sleep(2)
    planner = await case.wait_for(lambda: case.holder_node("model-barge"), 10,
                                  "nobody plans the engines")
    await asyncio.sleep(2)
    others = [n for n in case.nodes if n is not planner]
    # The processes have read no results yet.
    for node, other in (others, others[::-1]):
        foreign = await play_round(case, node, other)
        await asyncio.sleep(3)
        if foreign:
            return BROKEN, (f"MIXED broken: a client got {len(foreign)} "
                            f"results of another job")
    return HELD, "MIXED held: each result was one of its job"


run(pathlib.Path(__file__).resolve().parent, play)
