"""A submission that one instance may have stored for another is answered as
refused because the next instance got a refusal from the store."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness import BROKEN, HELD, CannotRun, make_job, run, submit

DOWN_S = 4.5             # platform_down, busy, for_s in the site's list
ROUTES = [
    {"name": "plan-draft", "prefix": "/plan/", "service": "model-barge",
     "route_type": "rollout", "max_attempts": 3, "timeout_ms": 10000,
     "target_latency_ms": 400, "run_target_ms": 7500, "queue_ttl_s": 40,
     "priority": 1}]


async def play(case):
    await case.start_store()
    engines = [await case.add_worker("model-barge", f"z{at}", 8, ("m0",))
               for at in range(2)]
    await case.configure(ROUTES, [
        {"name": "model-barge", "health_path": "/health", "max_conns": 140,
         "engine": {"slots": 8, "kv_token_cap": 81136, "stride": 51,
                    "models": [{"name": "m0"}]}}])
    await case.add_nodes(["z0", "z0", "z1"])
    await case.wait_for(lambda: case.holder_node("model-barge"), 15,
                        "nobody plans the engines")
    await asyncio.sleep(3)
    feeder = case.holder_node("~feed/z0")
    away = next(n for n in case.nodes[:2] if n is not feeder)
    other = case.nodes[2]

    ran = set()
    for engine in engines:
        engine.on_run = lambda worker, request, kind: ran.add(
            request.header("request-id"))
    is_away = False
    job = make_job("m0", "/plan/", 8)

    async def before(machine, request):
        if case.store.is_down or is_away and machine == away.name:
            await request.answer(503, {})
            return True
        return False

    async def after(machine, request):
        """The store goes down when it has carried out the submission and has
        not answered yet."""
        if not case.store.is_down and case.has_trouble and \
                ("c/job/" + job["id"]).encode() in request.body:
            case.store.is_down = True
            case.note(f"the store has carried out the submission for {machine}"
                      f", gives no answer and is down (503)")
            request.abort()
            return True
        return False

    case.store.before, case.store.after = before, after
    if case.has_trouble:
        is_away = True
        case.note(f"the store turns {away.name} away (503); {feeder.name} and "
                  f"{other.name} are served")
        await asyncio.sleep(2)
    statuses = []
    for node in (away, other):
        answer = await submit(node, job, "/plan/")
        statuses.append(answer.status)
        case.note(f"job {job['id']} at {node.name}: {answer.status} "
                  f"{answer.body.decode()}")
        if answer.status == 202:
            break
        await asyncio.sleep(0.3)
    if case.store.is_down:
        await asyncio.sleep(DOWN_S - 0.5)
        case.store.is_down = is_away = False
        case.note("the store is back")
    await asyncio.sleep(8)
    began = [item for item in job["items"] if item in ran]
    case.note(f"the job was answered {statuses}; {len(began)} of its items ran")
    if began and all(status in (429, 503) for status in statuses):
        return BROKEN, (f"REFUSED broken: {len(began)} items ran of a job that "
                        f"was answered {statuses}")
    return HELD, f"REFUSED held: answered {statuses}, {len(began)} items ran"


run(pathlib.Path(__file__).resolve().parent, play)
