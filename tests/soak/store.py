"""Test double for the platform's store: revisions, conditional transactions,
leases and watches."""

import asyncio
import base64
import json
import time

from aiohttp import web


def encode(value):
    return base64.b64encode(value.encode("latin-1")).decode()


class Store:
    """A key-value store with fault injection. `mode` is "ok", "refuse" (all
    requests get 503) or "lose" (every third write takes effect, but its
    connection is closed without a response)."""

    def __init__(self):
        self.values = {}
        self.history = []
        self.oldest = 0
        self.revision = 10
        self.leases = {}
        self.next_lease = 1000
        self.mode = "ok"
        self.writes = 0
        # Set at the next change. A condition could stay locked for good by a
        # watch that is cancelled while it waits for the lock.
        self.changed = asyncio.Event()

    def app(self):
        app = web.Application(client_max_size=64 << 20)
        app.router.add_get("/savorydock/kv-key", self.read_key)
        app.router.add_get("/savorydock/kv-range", self.read_range)
        app.router.add_get("/savorydock/kv-watch", self.watch)
        app.router.add_post("/savorydock/kv-txn", self.transact)
        app.router.add_post("/savorydock/kv-lease", self.grant)
        app.router.add_post("/savorydock/kv-keep/{id}", self.renew)
        app.router.add_delete("/savorydock/kv-lease-end/{id}", self.end_lease)
        return app

    def answer(self, body, status=200):
        return web.json_response(body, status=status)

    def item(self, key):
        value, revision, created, lease = self.values[key]
        return {"key": key, "value": encode(value), "revision": revision,
                "created": created, "lease": lease}

    def change(self, key, value, lease=0):
        """Writes a key at a new revision; the value None removes the key."""
        self.revision += 1
        if value is None:
            if self.values.pop(key, None) is not None:
                self.history.append((self.revision, {
                    "key": key, "revision": self.revision, "removed": True}))
            return
        created = self.values[key][2] if key in self.values else self.revision
        self.values[key] = (value, self.revision, created, lease)
        self.history.append((self.revision, self.item(key)))

    def notify(self):
        """Wakes all watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def put(self, key, value):
        """Writes as the operator, a trainer or a worker, bypassing faults."""
        self.change(key, value)
        self.notify()

    async def drop_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.values.items() if v[3] == lease]:
            self.change(key, None)
        self.notify()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [l for l, end in self.leases.items() if end[1] < now]:
                await self.drop_lease(lease)

    def drop_history(self):
        self.oldest = self.revision
        self.history.clear()

    async def read_key(self, request):
        key = request.query["key"]
        if self.mode == "refuse":
            return self.answer({}, 503)
        if key not in self.values:
            return self.answer({"current_rev": self.revision}, 404)
        return self.answer({**self.item(key), "current_rev": self.revision})

    async def read_range(self, request):
        if self.mode == "refuse":
            return self.answer({}, 503)
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self.values
                      if k.startswith(prefix) and k > after)
        return self.answer({"items": [self.item(k) for k in keys[:500]],
                            "has_more": len(keys) > 500,
                            "current_rev": self.revision})

    async def watch(self, request):
        if self.mode == "refuse":
            return self.answer({}, 503)
        prefix, after = request.query["prefix"], int(request.query["after"])
        end = time.monotonic() + int(request.query["wait_ms"]) / 1000
        while True:
            if after < self.oldest:
                return self.answer({}, 410)
            events = [e for revision, e in self.history
                      if revision > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return self.answer({"events": events,
                                    "current_rev": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def transact(self, request):
        if self.mode == "refuse":
            return self.answer({}, 503)
        body = json.loads(await request.text())
        for row in body.get("expected", []):
            current = self.values.get(row["key"])
            if (current[1] if current else 0) != row["revision"]:
                present = [self.item(r["key"]) for r in body["expected"]
                           if r["key"] in self.values]
                return self.answer({"items": present}, 412)
        for row in body.get("puts", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return self.answer({}, 404)
        for row in body.get("puts", []):
            value = base64.b64decode(row["value"]).decode("latin-1")
            self.change(row["key"], value, row.get("lease") or 0)
        for key in body.get("deletes", []):
            self.change(key, None)
        # Other writes may raise self.revision before the response is sent.
        revision = self.revision
        self.notify()
        self.writes += 1
        if self.mode == "lose" and self.writes % 3 == 0:
            request.transport.abort()
        return self.answer({"revision": revision})

    async def grant(self, request):
        if self.mode == "refuse":
            return self.answer({}, 503)
        time_to_live = json.loads(await request.text())["ttl_ms"]
        self.next_lease += 1
        self.leases[self.next_lease] = (
            time_to_live, time.monotonic() + time_to_live / 1000)
        return self.answer({"lease": self.next_lease, "ttl_ms": time_to_live})

    async def renew(self, request):
        if self.mode == "refuse":
            return self.answer({}, 503)
        lease = int(request.match_info["id"])
        if lease not in self.leases:
            return self.answer({}, 404)
        time_to_live = self.leases[lease][0]
        self.leases[lease] = (time_to_live,
                              time.monotonic() + time_to_live / 1000)
        return self.answer({"ttl_ms": time_to_live})

    async def end_lease(self, request):
        if self.mode == "refuse":
            return self.answer({}, 503)
        await self.drop_lease(int(request.match_info["id"]))
        return self.answer({})
