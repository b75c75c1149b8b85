import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_3 as s

MEMORY_TOKENS = 81_136
ENGINES, SLOTS, ITEMS, LARGE_ITEMS = 4, 8, 16, 8
EVENTS = 75
STEP_DEADLINE_S, IDLE_S = 12, 5
SERVICES = [{"name": "engine", "health_path": "/health", "max_conns": 140,
             "protocol": "h1", "tls": False,
             "engine": {"slots": SLOTS, "kv_token_cap": MEMORY_TOKENS,
                        "stride": 51, "models": [{"name": "m"},
                                                 {"name": "n"}]}}]


def route(name, priority):
    return {"name": name, "host": "h.example", "prefix": f"/{name}/",
            "route_type": "rollout", "service": "engine", "max_attempts": 3,
            "timeout_ms": 10000, "target_latency_ms": 400,
            "run_target_ms": 7500, "queue_ttl_s": 40, "priority": priority}


def tokens_of(request):
    return sum(int(n) for n in request.header("token-usage").split(","))


class MemoryEngine(s.Engine):
    """Rejects requests that are larger than its memory, or for which it has
    no room, as if it were full. Other items take 1.5 s."""
    used = 0

    async def handle(self, request):
        tokens = (tokens_of(request) if request.header("token-usage") else 0)
        if self.used + tokens > MEMORY_TOKENS:
            self.on_reject(self, request)
            await self.refuse(request, 503)
            return
        self.used += tokens
        try:
            await super().handle(request)
        finally:
            self.used -= tokens

    def events_of(self, request):
        return EVENTS


def make_job(name, model, count, prompt):
    return [f"{name}{at:08x}" for at in range(count)], json.dumps({
        "step": 0, "model": model, "target_groups": count // 4,
        "min_version": 1,
        "items": [{"id": f"{name}{at:08x}", "path": f"/{name}/i",
                   "headers": {"Model": model, "Token-Usage": f"{prompt},400"},
                   "body": "q83vEjRWeJA=", "tokens": prompt + 400,
                   "group": f"{name}{at // 4}"} for at in range(count)]}).encode()


async def main(case):
    await case.start_store()
    runs, finished, rejected, engines = {}, set(), [], []

    def on_start(worker, request):
        runs.setdefault(request.header("request-id"), []).append(
            [case.now(), None])
        case.note(f"item {request.header('request-id')} begins at {worker.id}")

    def on_end(worker, request):
        for run in reversed(runs[request.header("request-id")]):
            if run[1] is None:
                run[1] = case.now()
                break
        case.note(f"item {request.header('request-id')} leaves {worker.id}")

    def on_reject(worker, request):
        rejected.append(request.header("request-id"))
        case.note(f"item {request.header('request-id')} is rejected by "
                  f"{worker.id} as if it were full")

    for at in range(ENGINES):
        engine = MemoryEngine(case.store, "engine", f"z{at % 2}", SLOTS,
                              ["m", "n"])
        engine.on_reject = on_reject
        engine.on_start, engine.on_end = on_start, on_end
        engine.on_event = lambda request, number: (
            finished.add(request.header("request-id"))
            if number == EVENTS else None)
        await engine.start(case.net + ".3")
        engines.append(engine)
    case.configure([route("first", 0), route("second", 1)], SERVICES)
    for at in range(4):
        case.add_node(f"n{at}", f"z{at % 2}")
    await case.until_ready()
    await asyncio.sleep(8)

    async def submit(name, model, count, prompt, node):
        items, body = make_job(name, model, count, prompt)
        sent = case.now()
        answer = await s.send(
            node.address, "POST", f"/{name}/s",
            {"Host": "h.example", "Request-Id": name + "-job",
             "Content-Type": "application/json"}, body)
        case.note(f"job of {count} items of {prompt} + 400 tokens on /{name}/: "
                  f"{answer.status}")
        return items, sent

    items, sent = await submit("second", "m", ITEMS, 40_000, case.nodes[0])
    await asyncio.sleep(0.8)
    case.note(f"{len(runs)} of its items have begun")
    # Larger than the memory of a worker, unless without the trouble.
    await submit("first", "n", LARGE_ITEMS, 90_000 if case.trouble else 1_000,
                 case.nodes[1])
    steady, deadline = case.now(), sent + STEP_DEADLINE_S
    busy = []
    while case.now() < deadline:
        await asyncio.sleep(0.1)
        busy.append((case.now(), sum(e.running for e in engines)))
    case.note(f"{sum(i in runs for i in items)} of {ITEMS} items on /second/ "
              f"have begun, {sum(i in finished for i in items)} are finished; "
              f"{len(rejected)} requests were rejected")
    idle = []
    for item in items:
        begin, stop = s.longest_idle(runs.get(item, []), steady, deadline)
        places = max([n for at, n in busy if begin <= at <= stop] + [0])
        # Two models are trained: no item began in the last 3 s.
        last = max(run[0] for rows in runs.values() for run in rows)
        if (item not in finished and stop - begin >= IDLE_S
                and places < ENGINES * SLOTS / 2 and last < deadline - 3):
            idle.append((stop - begin, places))
    if not idle:
        return []
    return [f"LOST: the step on /second/ runs out of time; {len(idle)} of its "
            f"items were at no worker for {min(idle)[0]:.1f} s and more, with "
            f"at most {max(n for _, n in idle)} of {ENGINES * SLOTS} places "
            "taken"]


s.run(__file__, main)
