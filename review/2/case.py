"""A job that is ended while its planner loads it stays in the planner and
takes the engines' places from other jobs."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness import (BROKEN, HELD, CannotRun, end_job, make_job, read_job, run,
                     submit)

STORE_SLOW = 60          # platform_slow, x of the site file's list
SLOW_S = 3.0             # the same, for_s: 4.5 there
CANCEL_S = 0.1           # give_up prompt: within half the objective (200 ms)
STEP_S = 12.0            # the deadline of the route's clients
IDLE_S = 5.0
SLOTS = 8

PLAIN = {"host": "h.example", "service": "job-board", "route_type": "safe",
         "max_attempts": 4, "timeout_ms": 3000, "target_latency_ms": 800,
         "priority": 2, "name": "depth-sync", "prefix": "/depth/"}
ROLLOUT = {"service": "model-barge", "route_type": "rollout",
           "max_attempts": 3, "timeout_ms": 10000, "target_latency_ms": 400,
           "run_target_ms": 7500, "queue_ttl_s": 40}


async def play(case):
    await case.start_store()
    engines = [await case.add_worker("model-barge", f"z{at % 3}", SLOTS,
                                     ("m0", "m1")) for at in range(2)]
    for at in range(2):
        await case.add_worker("job-board", f"z{at % 3}", 6, work_s=0.1)
    await case.configure(
        [PLAIN,
         {**ROLLOUT, "name": "sonar-read", "prefix": "/sonar/", "priority": 0},
         {**ROLLOUT, "name": "plan-draft", "prefix": "/plan/", "priority": 1}],
        [{"name": "model-barge", "health_path": "/health", "max_conns": 140,
          "engine": {"slots": SLOTS, "kv_token_cap": 81136, "stride": 51,
                     "models": [{"name": "m0"}, {"name": "m1"}]}},
         {"name": "job-board", "health_path": "/health", "max_conns": 110}])
    await case.add_nodes(["z0", "z1", "z2"])
    planner = await case.wait_for(lambda: case.holder_node("model-barge"), 15,
                                  "nobody plans the engines")
    await asyncio.sleep(2)

    begun, done, at_work, last_begin = set(), set(), {}, {}
    busy = []            # (time, number of requests at the engines)

    def on_run(worker, request, kind):
        item = request.header("request-id")
        if kind == "item":
            begun.add(item)
            at_work[item] = at_work.get(item, 0) + 1
            last_begin[item] = case.now()
            busy.append((case.now(), sum(e.running for e in engines)))

    def on_end(worker, request, kind):
        item = request.header("request-id")
        if kind == "item":
            at_work[item] -= 1
            last_begin[item] = case.now()
            if request.is_complete:
                done.add(item)
            busy.append((case.now(), sum(e.running for e in engines)))

    for engine in engines:
        engine.on_run, engine.on_end = on_run, on_end

    node = next(n for n in case.nodes if n is not planner)
    step = make_job("m1", "/plan/", 48, scorer="/depth/s")
    answer = await submit(node, step, "/plan/")
    if answer.status != 202:
        raise CannotRun(f"the step was answered {answer.status}")
    accepted = case.now()
    case.note(f"step {step['id']} of 48 items accepted with 202 by {node.name}")
    await asyncio.sleep(0.3)

    if case.has_trouble:
        case.store.answer_s = 0.004 * STORE_SLOW
        case.note(f"the store's answers take {STORE_SLOW} times as long")
    slow_until = case.now() + SLOW_S
    other = make_job("m0", "/sonar/", 48, scorer="/depth/s")
    answer = await submit(node, other, "/sonar/")
    case.note(f"job {other['id']} of 48 items: {answer.status}")
    if answer.status != 202:
        raise CannotRun(f"the other job was answered {answer.status}")
    await asyncio.sleep(CANCEL_S)
    answer = await end_job(node, other)
    case.note(f"end of job {other['id']}: {answer.status}")
    if answer.status != 200:
        raise CannotRun(f"the end was answered {answer.status}")
    ended = case.now()

    rows = []
    while case.now() < accepted + STEP_S and len(rows) < 48:
        if case.now() > slow_until:
            case.store.answer_s = 0.004
        answer = await read_job(node, step, len(rows))
        if answer.status == 200:
            page = answer.json()["results"]
            rows += page
            if page:
                case.note(f"{len(rows)} results of the step are read")
        await asyncio.sleep(0.25)
    out = case.now()
    answer = await end_job(node, step)
    case.note(f"end of the step: {answer.status}; listed {len(rows)}, "
              f"begun {len(begun & set(step['items']))}, "
              f"finished by a worker {len(done & set(step['items']))}")
    late = [i for i in other["items"] if i in begun]
    case.note(f"items of the ended job that ever began: {len(late)}")

    idle = [item for item in step["items"]
            if item not in done and not at_work.get(item)
            and last_begin.get(item, accepted) < out - IDLE_S]
    others_began = bool(begun & set(step["items"]))
    window = [count for at, count in busy if at > out - IDLE_S]
    before = [count for at, count in busy if at <= out - IDLE_S]
    most = max(window + before[-1:], default=0)
    began_late = [at for at in last_begin.values() if at > out - 3]
    is_calm = out - IDLE_S >= slow_until + 3 or not case.has_trouble
    case.note(f"at the step's end {len(idle)} items had been at no worker for "
              f"{IDLE_S} s; most requests at the {len(engines)} engines of "
              f"{SLOTS} slots in that time: {most}; begun in the last 3 s: "
              f"{len(began_late)}; the store was calm for it: {is_calm}")
    is_broken = (len(rows) < 48 and idle and others_began and is_calm
                 and most < len(engines) * SLOTS / 2 and not began_late)
    if is_broken:
        return BROKEN, (f"LOST broken: {len(idle)} items of the step waited at "
                        f"no worker for the last {IDLE_S} s")
    return HELD, f"LOST held: {len(rows)} of 48 results were listed"


run(pathlib.Path(__file__).resolve().parent, play)
