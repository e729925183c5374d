"""Two upgrades one after the other while some heavy orders run. See claim.txt."""

import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
sys.dont_write_bytecode = True
import standins as s  # noqa: E402

DEADLINE_MS = 10000
CLIENTS = 8
HEAVY = 2
HEAVY_RUN_MS = 6000
# A result that was acknowledged this long before the client's other answer should have reached it.
HANDLING_MS = 500

lanes = [s.lane("place-order", "unsafe", 5000), s.lane("group-order", "keyed", DEADLINE_MS)]


def group_order(run_ms=None):
    return s.Request("group-order", DEADLINE_MS, run_ms or random.randint(550, 1100), keyed=True)


async def keep_sending(client, requests, stop):
    while not stop.is_set():
        request = group_order()
        requests.append(request)
        await client.send(request)


async def upgrade(record, platform, old, ops_port):
    """Starts a new process, ends the old one, and waits for its end. Returns the new one."""
    new = await platform.start(ops_port)
    if not await s.wait_for(ops_port, "/admin/health", 6):
        raise s.CannotRun("the new process did not say yes within 6 s")
    platform.signal(old, signal.SIGTERM)
    return new


async def ended(platform, process):
    try:
        await asyncio.wait_for(process.wait(), platform.kill_after_s())
    except asyncio.TimeoutError:
        platform.signal(process, signal.SIGKILL)
        await process.wait()


async def play(record, temporary, trouble):
    upgrades = int(os.environ.get("UPGRADES", "2")) if trouble else 0
    port, discovery_port, *ops_ports = s.free_ports(5)
    worker_ports = s.free_ports(6)
    discovery = s.Discovery(discovery_port, record)
    workers = [s.Worker(f"s-{i:08x}", p, port, record) for i, p in enumerate(worker_ports)]
    for worker in workers:
        discovery.put(worker.uid, worker.port)
        await worker.listen()
    await discovery.listen()
    platform = s.Platform(record, s.settings(lanes), port, discovery_port, temporary)
    tasks = []
    try:
        process = await platform.start(ops_ports[0])
        if not await s.wait_for(port, "/ready", 5):
            raise s.NotReady("the dispatcher did not become ready")
        requests = []
        stop = asyncio.Event()
        for _ in range(CLIENTS):
            tasks.append(asyncio.create_task(
                keep_sending(s.Client(port, record), requests, stop)))
        await asyncio.sleep(4)
        heavy = [group_order(HEAVY_RUN_MS) for _ in range(HEAVY)]
        heavy_tasks = [asyncio.create_task(s.Client(port, record).send(r)) for r in heavy]
        tasks += heavy_tasks
        await asyncio.sleep(0.3)
        for number in range(upgrades):
            new = await upgrade(record, platform, process, ops_ports[number + 1])
            if number + 1 < upgrades:
                await ended(platform, process)
                old = None
            else:
                old = process
            process = new
        await asyncio.wait(heavy_tasks, timeout=DEADLINE_MS / 1000 + 1)
        if upgrades and old:
            await ended(platform, old)
        stop.set()
        await asyncio.wait(tasks, timeout=2)
    finally:
        for task in tasks:
            task.cancel()
        await platform.end()
    done = {}
    for worker in workers:
        done.update(worker.acknowledged)
    share = len(heavy) / (len(heavy) + len(requests))
    record.add("summary", requests=len(requests), heavy_share=share)
    print(f"{len(requests)} usual and {len(heavy)} heavy requests ({share:.1%}); answers to the heavy "
          f"ones: {[r.status for r in heavy]}")
    broken = []
    for r in heavy + requests:
        if r.status == 200 or r.id not in done:
            continue
        end_ms = r.answered_ms or record.now()
        if done[r.id] < end_ms - HANDLING_MS:
            broken.append(f"lost: `done` of {r.id} was answered 204, and {end_ms - done[r.id]:.0f} ms "
                          f"later its client got {r.status}")
    return broken


s.main(FOLDER, play)
