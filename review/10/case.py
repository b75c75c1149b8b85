"""One spoiled byte in one event of one worker makes a batch job's results
unreadable, and after a change of planner its item stands at two positions."""

import asyncio
import json
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True
from standins_2 import Case, configuration, make_job  # noqa: E402

ITEMS = 48


async def read_all(node, job):
    """The item at each position, read from the start, and whether all pages
    were text; nothing if a page can't be read."""
    found, position, is_text = {}, 0, True
    while True:
        status, _, body = await node.call(
            "GET", f"/savorydock/lots/{job}?after={position}")
        if status != 200:
            return None, is_text
        try:
            page = json.loads(body.decode("utf-8"))
        except ValueError:
            is_text = False
            page = json.loads(body.decode("latin-1"))
        for at, row in enumerate(page["results"]):
            found[position + at] = row["id"]
        if not page["results"]:
            return found, is_text
        position = page["next_token"]


async def play(case):
    await case.start_store()
    case.store.put("op/config", configuration())
    engines = await case.add_workers("engine", 4, models=["m0"])
    await case.add_workers("plain", 2)
    case.add_nodes([("front-za-1", "za"), ("front-za-2", "za"),
                    ("front-zb-1", "zb")])
    await case.until_ready()
    planner = await case.until_planner_settles("engine")
    await asyncio.sleep(3.5)
    job, items, _, body = make_job("m0", ITEMS, with_scores=False)
    spoiled = []
    faulty = engines[0]

    def event_data(name, number):
        data = f"{name}.{number}".encode()
        if case.trouble and number == 3 and spoiled in ([], [name]):
            spoiled[:] = [name]
            case.record("spoiled", worker=faulty.id, id=name, event=number)
            return b"\xff" + data[1:]
        return data
    faulty.event_data = event_data
    front = next(node for node in case.nodes if node is not planner)
    status, _, _ = await front.call("POST", "/job/7c41e0",
                                    {"Request-Id": job}, body)
    case.record("job", id=job, status=status, planner=planner.name)
    if status != 202:
        raise RuntimeError("the job wasn't accepted")

    async def is_whole():
        rows, _ = await read_all(front, job)
        return rows if rows and len(rows) >= ITEMS else None
    rows = await case.until(is_whole, 12, "all results")
    case.record("listed", rows=len(rows), different=len(set(rows.values())))
    if case.trouble:
        case.record("SIGKILL", node=planner.name)
        planner.process.kill()
        planner.process.wait()
        await asyncio.sleep(0.3)
        planner.start()
    await asyncio.sleep(10)
    # Results keep their positions at all nodes, so what they show is one list.
    listed = {}
    for node in case.nodes:
        rows, is_text = await read_all(node, job)
        if rows is None:
            raise RuntimeError("the results can't be read now")
        case.record("read", node=node.name, rows=len(rows),
                    different=len(set(rows.values())), is_utf8=is_text)
        listed.update(rows)
    places = {item: [at for at, name in listed.items() if name == item]
              for item in items}
    return [f"item {item} stands at the positions {at} of its job of {ITEMS} "
            f"items" for item, at in places.items() if len(at) > 1]


Case(FOLDER).run(play)
