"""Plays random faults, which may overlap, and reports them to the judge."""

import asyncio
import random
import signal
import time

# During these, and CONTACT_S after, the judge excuses what any instance does
# not find. Half of the runs leave them out.
FLEET_FAULTS = {"store", "history", "kill_all"}
# Faults that are aimed at the planner, and their share of all.
PLANNER_FAULTS = ["kill", "pause", "proxy", "term"]
PLANNER_SHARE = 0.3


class FaultPlay:
    def __init__(self, soak, seed):
        self.soak, self.judge = soak, soak.judge
        # Not shared with callers, whose draws depend on scheduling.
        self.random = random.Random(seed)
        # The faults that have begun, as tasks.
        self.begun = []

    async def apply_fault(self, kind, seconds, target, begin, end):
        """Applies one fault for `seconds` and reports it to the judge."""
        names = [node.name for node in self.soak.nodes]
        affected = names if target in ("store", "all instances") else [
            name for name in names if name == target and kind != "reload"]
        print(f"{time.monotonic() - self.soak.begin:7.2f} {kind} {target} "
              f"{seconds:.1f} s", file=self.soak.events)
        self.judge.record_fault(1, affected)
        begin()
        await asyncio.sleep(seconds)
        end()
        self.judge.record_fault(-1, affected)

    def make_faults(self, node, worker, seconds):
        """Maps each kind of fault to its target and its begin and end
        functions."""
        store = self.soak.store

        def nothing():
            pass

        return {
            "proxy": (node.name,
                      lambda: node.proxy.set_mode(self.random.choice(
                          ["delay", "reset", "silent", "one_way"])),
                      lambda: node.proxy.set_mode("pass")),
            "kill": (node.name, lambda: node.send(signal.SIGKILL), nothing),
            "term": (node.name, lambda: node.send(signal.SIGTERM), nothing),
            "kill_all": ("all instances",
                         lambda: [one.send(signal.SIGKILL)
                                  for one in self.soak.nodes], nothing),
            "pause": (node.name, lambda: node.send(signal.SIGSTOP),
                      lambda: node.send(signal.SIGCONT)),
            "reload": (node.name, node.reload, nothing),
            "cut_off": (node.name,
                        lambda: self.set_cut([node], self.random.choice(
                            ["hang", "reset", "refuse"])),
                        lambda: self.set_cut([node], None)),
            "store": ("store",
                      lambda: setattr(store, "mode", self.random.choice(
                          ["refuse", "lose"])),
                      lambda: setattr(store, "mode", "ok")),
            "history": ("store", store.drop_history, nothing),
            "slow": (worker.id, lambda: setattr(worker, "slowness", 4),
                     lambda: setattr(worker, "slowness", 1)),
            "damage": (worker.id, lambda: setattr(worker, "is_damaging", True),
                       lambda: setattr(worker, "is_damaging", False)),
            "crash": (worker.id,
                      lambda: worker.is_down or asyncio.ensure_future(
                          worker.crash(seconds)), nothing),
            "release": (worker.id,
                        lambda: worker.is_down or asyncio.ensure_future(
                            worker.crash(0.1, self.random.choice(
                                ["v1", "v2"]))), nothing),
        }

    def set_cut(self, nodes, how):
        for node in nodes:
            if how:
                self.soak.cut[node.name] = how
            else:
                self.soak.cut.pop(node.name, None)
        for network in self.soak.networks:
            network.apply()

    def planner(self):
        """The instance that plans the jobs, if there is one."""
        term = self.soak.store.values.get("c/term/engine")
        return next((node for node in self.soak.nodes if term and
                     term[0].partition("/")[0] == node.name), None)

    async def inject(self):
        """Starts random faults, which may overlap."""
        left_out = self.random.choice([FLEET_FAULTS, set()])
        while not self.soak.is_over:
            await asyncio.sleep(self.random.uniform(0.3, 1.6))
            seconds = self.random.uniform(0.5, 4.0)
            node = self.random.choice(self.soak.nodes)
            is_aimed = self.random.random() < PLANNER_SHARE
            if is_aimed:
                node = self.planner() or node
            faults = self.make_faults(
                node, self.random.choice(self.soak.workers), seconds)
            kind = self.random.choice(PLANNER_FAULTS if is_aimed else sorted(
                set(faults) - left_out))
            self.begun.append(asyncio.ensure_future(
                self.apply_fault(kind, seconds, *faults[kind])))
