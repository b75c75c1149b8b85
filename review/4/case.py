"""A planner that gets its term back forgets who runs its items. Those of an
instance that has died meanwhile are never run again."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness import (BROKEN, HELD, CannotRun, end_job, make_job,
                     read_job, run, submit)

DOWN_S = 3.3             # platform_down; the site's day trouble-3 has 6.5
DARK_S = 3.5             # node_kill, for_s in the site's list
KILL_BEFORE_S = 0.5      # how long before the store's return
STEP_S = 12.0            # the deadline of the route's clients
IDLE_S = 5.0
CONTACT_S = 3.0
SLOTS = 8

ROUTES = [
    {"name": "plan-draft", "prefix": "/plan/", "service": "model-barge",
     "route_type": "rollout", "max_attempts": 3, "timeout_ms": 10000,
     "target_latency_ms": 400, "run_target_ms": 7500, "queue_ttl_s": 40,
     "priority": 1}]
ZONES = ["z0", "z1", "z2"]
ITEMS = 24
ROUNDS = 6




class Watch:
    """What the engines do with the items of a step."""

    def __init__(self, case, engines):
        self.case, self.engines = case, engines
        for engine in engines:
            engine.on_run, engine.on_end = self.on_run, self.on_end
        self.begin_step([])

    def begin_step(self, items):
        self.items, self.busy = items, []
        self.begun, self.done = set(), set()
        self.at_work = dict.fromkeys(items, 0)
        self.last_seen = dict.fromkeys(items, self.case.now())

    def on_run(self, worker, request, kind):
        self.count(request.header("request-id"), 1)

    def on_end(self, worker, request, kind):
        item = request.header("request-id")
        self.count(item, -1)
        if request.is_complete:
            self.done.add(item)

    def count(self, item, change):
        now = self.case.now()
        self.busy.append((now, sum(e.running for e in self.engines)))
        if item in self.at_work:
            self.begun.add(item)
            self.at_work[item] += change
            self.last_seen[item] = now

    def idle_since(self, time):
        """The unfinished items that have been at no worker since then."""
        return [item for item in self.items
                if item not in self.done and not self.at_work[item]
                and self.last_seen[item] < time]

    def most_since(self, time):
        """The most requests at the engines at once since then."""
        before = [count for at, count in self.busy if at <= time]
        return max([count for at, count in self.busy if at > time]
                   + before[-1:], default=0)


async def play_step(case, watch):
    """One step during which the store is down and an instance dies. Returns
    how many items were lost."""
    planner = await case.wait_for(lambda: case.holder_node("model-barge"), 10,
                                  "nobody plans the engines")
    runner, reader = [n for n in case.nodes if n is not planner]
    step = make_job("m0", "/plan/", ITEMS)
    watch.begin_step(step["items"])
    answer = await submit(reader, step, "/plan/")
    accepted = case.now()
    case.note(f"step {step['id']} of {ITEMS} items: {answer.status}; the "
              f"planner is {planner.name}")
    if answer.status != 202:
        raise CannotRun(f"the step was answered {answer.status}")
    await asyncio.sleep(0.3)

    back = killed = case.now()
    if case.has_trouble:
        async def refuse(machine, request):
            await request.answer(503, {})
            return True

        case.store.before, begin = refuse, case.now()
        case.store.is_down = True
        await case.store.notify()
        case.note("the store is down (503); leases run out meanwhile")
        await asyncio.sleep(DOWN_S - KILL_BEFORE_S)
        case.note(f"{runner.name} is killed")
        runner.send(signal.SIGKILL)
        killed = case.now()
        await asyncio.sleep(begin + DOWN_S - case.now())
        case.store.before, back = None, case.now()
        case.store.is_down = False
        case.note("the store is back")

    rows, is_restarted = [], not case.has_trouble
    while case.now() < accepted + STEP_S and len(rows) < ITEMS:
        if not is_restarted and case.now() > killed + DARK_S:
            is_restarted = True
            runner.start()
            case.note(f"{runner.name} is started again")
        answer = await read_job(reader, step, len(rows))
        if answer.status == 200 and answer.json()["results"]:
            rows += answer.json()["results"]
        await asyncio.sleep(0.25)
    out = case.now()
    await end_job(reader, step)
    holder = case.holder_node("model-barge")
    idle = watch.idle_since(out - IDLE_S)
    most = watch.most_since(out - IDLE_S)
    is_calm = out - IDLE_S >= back + CONTACT_S
    case.note(f"{'again ' if holder is planner else ''}"
              f"{holder.name if holder else 'nobody'} is the planner; "
              f"{len(rows)} results were listed and {len(idle)} items had been "
              f"at no worker for {IDLE_S} s; most requests at the engines in "
              f"that time: {most} of {len(ZONES) * SLOTS}; the store was calm "
              f"for it: {is_calm}")
    if not is_restarted:
        runner.start()
    is_broken = (len(rows) < ITEMS and watch.begun and is_calm
                 and most < len(ZONES) * SLOTS / 2)
    return len(idle) if is_broken else 0


async def play(case):
    await case.start_store()
    engines = [await case.add_worker("model-barge", zone, SLOTS, ("m0",),
                                     event_s=0.13) for zone in ZONES]
    await case.configure(ROUTES, [
        {"name": "model-barge", "health_path": "/health", "max_conns": 140,
         "engine": {"slots": SLOTS, "kv_token_cap": 81136, "stride": 51,
                    "models": [{"name": "m0"}]}}])
    # As on the grown sites, machines have 0.12 to 0.5 cores.
    await case.add_nodes(ZONES, {"z0": 0.5, "z1": 0.12, "z2": 0.12})
    watch = Watch(case, engines)
    for _ in range(ROUNDS if case.has_trouble else 2):
        if case.now() > 90:
            break
        # Everything is calm again before the next step.
        await asyncio.sleep(CONTACT_S)
        lost = await play_step(case, watch)
        if lost:
            return BROKEN, (f"LOST broken: {lost} items of the step were at no "
                            f"worker for its last {IDLE_S} s")
    return HELD, "LOST held: each item of each step was at a worker"


run(pathlib.Path(__file__).resolve().parent, play)
