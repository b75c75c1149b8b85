"""Orders to one engine alternate between two holders within lease_ms: a planner
hands its service over, the new one is stopped, and the first one orders again."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True
from standins_2 import Case, configuration  # noqa: E402

LEASE_S = 3.0        # bounds.lease_ms
STEP_PERIOD_S = 4.0  # Each trainer asks for a step, and names a version, so often.
MODELS = ("m0", "m1", "m2", "m3")
RESTART_S = 0.3
HAND_OVER_S = 12.0  # A planner hands over after 5 s at the soonest.


async def name_versions(case, model, delay):
    """A trainer that names the next version after each step."""
    version = 1
    await asyncio.sleep(delay)
    while True:
        version += 1
        case.record("named", model=model, version=version)
        case.store.put("op/version/" + model,
                       '{"model":"%s","version":%d}' % (model, version))
        await asyncio.sleep(STEP_PERIOD_S)


def turns(orders):
    """Orders of A, B and A at one engine within the lease time."""
    found = []
    for at, (began, holder, worker) in enumerate(orders):
        later = [row for row in orders[at + 1:]
                 if row[2] == worker and row[0] < began + LEASE_S]
        other = next((place for place, row in enumerate(later)
                      if row[1] != holder), None)
        if other is None:
            continue
        back = next((row for row in later[other:] if row[1] == holder), None)
        if back:
            found.append(f"{worker} got orders of {holder}, "
                         f"{later[other][1]} and {holder} within "
                         f"{back[0] - began:.2f} s (lease_ms {LEASE_S} s)")
    return found


async def play(case):
    orders = []
    record = case.record

    def keep(what, **fields):
        record(what, **fields)
        if what == "order":
            orders.append((case.now(), fields["holder"], fields["worker"]))
    case.record = keep
    await case.start_store()
    case.store.put("op/config", configuration(models=MODELS))
    await case.add_workers("engine", 1, models=MODELS)
    case.add_nodes([("front-za-1", "za"), ("front-za-2", "za"),
                    ("front-zb-1", "zb")])
    await case.until_ready()
    for at, model in enumerate(MODELS):
        asyncio.ensure_future(
            name_versions(case, model, at * STEP_PERIOD_S / len(MODELS)))
    await case.until(lambda: orders, 20, "an order")
    # Stops the instance to which the planner has just handed the service over,
    # as in a rolling restart. Again if the third instance took over, or if the
    # first planner kept the service, which needs a restart to change hands.
    for _ in range(3):
        before = orders[-1][1]
        end = case.now() + HAND_OVER_S
        while orders[-1][1] == before and case.now() < end:
            await asyncio.sleep(0.02)
        after = orders[-1][1]
        record("hand-over" if after != before else "no hand-over", to=after,
               feeders=",".join(sorted(case.feeders())))
        if not case.trouble:
            await asyncio.sleep(8)
            break
        record("SIGTERM", node=after)
        stopped = case.node(after)
        stopped.send(signal.SIGTERM)
        await asyncio.sleep(LEASE_S + 1)
        if turns(orders):
            break
        await case.until(lambda: not stopped.is_running(), 10, "its end")
        await asyncio.sleep(RESTART_S)
        stopped.start()
        record("started", node=after)
    return turns(orders)[:3]


case = Case(FOLDER)
case.fence_checked = "false"
case.run(play)
