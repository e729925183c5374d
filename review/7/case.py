"""A new configuration moves discovery; later an upgrade, with all else the same; then an order worker drains."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import fleet  # noqa: E402

GRACE_MS = 500 + 50
TOLD_AFTER_MS = 6000


async def case(record, folder):
    first = await fleet.Discovery(record, "discovery-1").start()
    second = await fleet.Discovery(record, "discovery-2").start()
    platform = fleet.Platform(record, folder, first, fleet.settings())
    workers = [await fleet.Worker(record, f"s-{i}", platform.listen).start() for i in range(3)]
    for discovery in (first, second):
        for worker in workers:
            discovery.put(worker.uid, endpoint=worker.address)
    try:
        old = await platform.start("old")
        await platform.until_ready()
        await asyncio.sleep(1.5)
        if fleet.TROUBLE:
            platform.config["discovery"] = second.address
            platform.write_config()
            platform.signal(old, signal.SIGHUP)
            first.stop_listening()
            await asyncio.sleep(1.5)
            first.reset_all()
            record.line("discovery-1", "closed")
            await asyncio.sleep(3)
        new = await platform.start("new")
        await platform.until_healthy(new)
        platform.signal(old, signal.SIGTERM)
        await asyncio.sleep(6)
        live = second if fleet.TROUBLE else first
        drained = workers[0]
        live.put(drained.uid, state="draining")
        changed = record.now()
        await asyncio.sleep((TOLD_AFTER_MS + GRACE_MS) / 1000 + 0.5)
        async def order():
            id = fleet.new_id()
            status = await fleet.call(platform.listen, "POST", "/api", fleet.job_headers(id, "place-order", 5000), b"order", 6)
            record.line("client", f"{id} got {status}")

        for _ in range(6):  # as many at once as the order workers have slots
            await asyncio.gather(*(order() for _ in range(6)))
        late = [job for job in drained.jobs if job.at > changed + TOLD_AFTER_MS + GRACE_MS]
        if late:
            record.broken(f"{len(late)} new attempts went to {drained.uid}, the first {late[0].at - changed:.0f} ms "
                          "after discovery had that it drains")
    finally:
        await platform.end()


fleet.main(case)
