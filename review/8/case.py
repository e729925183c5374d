"""An order worker joins during an upgrade while the new process's watch is silent, and is put out by hand at once."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import fleet  # noqa: E402

GRACE_MS = 500 + 50


class Discovery(fleet.Discovery):
    """Can let single connections fall silent: they stay open, and nothing comes any more."""

    def __init__(self, record):
        super().__init__(record)
        self.opened = []
        self.mute = set()

    async def serve(self, reader, writer):
        self.opened.append(writer)
        await super().serve(reader, writer)

    async def handle(self, first, headers, reader, writer):
        written = writer.write

        class Out:
            @staticmethod
            def write(data):
                if writer in self.mute:
                    self.record.line("discovery", "a silent connection gets no answer")
                    return
                written(data)

        return await super().handle(first, headers, reader, Out)


async def case(record, folder):
    discovery = await Discovery(record).start()
    platform = fleet.Platform(record, folder, discovery, fleet.settings())
    long_jobs = set()
    workers = [await fleet.Worker(record, f"s-{i}", platform.listen, run_ms=lambda job: 8000 if job.id in long_jobs else 100).start()
               for i in range(4)]
    joins = workers.pop()
    for worker in workers:
        discovery.put(worker.uid, endpoint=worker.address)
    tasks = []
    stop = False

    async def order(job_class="place-order", left=5000):
        id = fleet.new_id()
        if job_class == "group-order":
            long_jobs.add(id)
        status = await fleet.call(platform.listen, "POST", "/api", fleet.job_headers(id, job_class, left, key=id * 2), b"order",
                                  left / 1000 + 1)
        record.line("client", f"{id} got {status}")

    async def traffic():
        while not stop:
            tasks.extend(asyncio.ensure_future(order()) for _ in range(8))
            await asyncio.sleep(0.2)

    try:
        old = await platform.start("old")
        await platform.until_ready()
        await platform.until_healthy(old)
        await asyncio.sleep(0.5)
        tasks.append(asyncio.ensure_future(order("group-order", 10000)))
        await asyncio.sleep(0.2)
        before = len(discovery.opened)
        new = await platform.start("new")
        await platform.until_healthy(new)
        platform.signal(old, signal.SIGTERM)
        generator = asyncio.ensure_future(traffic())
        await asyncio.sleep(2.2)
        if fleet.TROUBLE:
            record.line("discovery", "the new process's watch falls silent")
            discovery.mute.update(discovery.opened[before:])
        await asyncio.sleep(0.1)
        discovery.put(joins.uid, endpoint=joins.address, boot_ms=int((time.time() - 60) * 1000))
        await asyncio.sleep(0.3)
        if await platform.admin_call(old, "cordon", joins.uid) != 200:
            raise fleet.CannotRun("the cordon call was refused")
        said_yes = record.now()
        await asyncio.sleep(6)
        stop = True
        await generator
        late = [job.at - said_yes for job in joins.jobs if job.at > said_yes + GRACE_MS]
        if late:
            record.broken(f"{len(late)} new attempts went to {joins.uid}, {min(late):.0f} to {max(late):.0f} ms after the dispatcher "
                          "had said yes to the call that puts it out")
        await asyncio.wait(tasks, timeout=12)
    finally:
        await platform.end()


fleet.main(case)
