"""A class is dropped by SIGHUP; later the dispatcher gets SIGTERM. See claim.txt."""

import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
sys.dont_write_bytecode = True
import standins as s  # noqa: E402

SHORT_MS = 1200
LONG_MS = 10000
CLIENTS = 8
# Requests that came in the first 0.7 s after SIGTERM are excused; 50 ms of slack on top.
EXCUSED_MS = 750
# A request sent this shortly before SIGKILL is not counted: it may not have been read.
UNREAD_MS = 50

place_order = s.lane("place-order", "unsafe", SHORT_MS)
group_order = s.lane("group-order", "keyed", LONG_MS)


async def keep_sending(client, make, requests, stop):
    while not stop.is_set():
        request = make()
        requests.append(request)
        if not await client.send(request):
            requests.pop()  # refused: the dispatcher never had it
            return


async def play(record, temporary, trouble):
    port, discovery_port, ops_port, *worker_ports = s.free_ports(7)
    discovery = s.Discovery(discovery_port, record)
    workers = [s.Worker(f"s-{i:08x}", p, port, record) for i, p in enumerate(worker_ports)]
    for worker in workers:
        discovery.put(worker.uid, worker.port)
        await worker.listen()
    await discovery.listen()
    both = s.settings([place_order, group_order])
    control = os.environ.get("CONTROL") == "1"  # without the class from the start
    trouble = trouble and not control
    platform = s.Platform(record, s.settings([place_order]) if control else both, port,
                          discovery_port, temporary)
    tasks = []
    try:
        process = await platform.start(ops_port)
        if not await s.wait_for(port, "/ready", 5):
            raise s.NotReady("the dispatcher did not become ready")
        requests, group_requests = [], []
        stop, stop_groups = asyncio.Event(), asyncio.Event()

        def place():
            return s.Request("place-order", SHORT_MS, random.randint(270, 530), keyed=False)

        def group():
            return s.Request("group-order", LONG_MS, random.randint(550, 1100), keyed=True)

        for _ in range(CLIENTS):
            tasks.append(asyncio.create_task(
                keep_sending(s.Client(port, record), place, requests, stop)))
        groups = [asyncio.create_task(
            keep_sending(s.Client(port, record), group, group_requests, stop_groups))
            for _ in range(0 if control else 2)]
        tasks += groups
        await asyncio.sleep(2)
        # Nobody names the class any more, and no job of it is open, well before it is dropped.
        stop_groups.set()
        if groups:
            await asyncio.wait(groups, timeout=LONG_MS / 1000)
        if trouble:
            platform.write_config(s.settings([place_order]))
            platform.signal(process, signal.SIGHUP)
        await asyncio.sleep(3)
        if not requests or any(r.status not in (200, 503) for r in requests if r.status):
            raise s.CannotRun("requests failed before SIGTERM")
        platform.signal(process, signal.SIGTERM)
        term_ms = record.now()
        try:
            await asyncio.wait_for(process.wait(), platform.kill_after_s())
            record.add("the dispatcher ended", code=process.returncode)
        except asyncio.TimeoutError:
            platform.signal(process, signal.SIGKILL)
            await process.wait()
        kill_ms = record.now()
        stop.set()
        await asyncio.sleep(0.3)
    finally:
        for task in tasks:
            task.cancel()
        await platform.end()
    forwarded = set().union(*(worker.attempts for worker in workers))
    after = [r for r in requests if r.sent_ms > term_ms + EXCUSED_MS]
    lost = [r for r in after if r.status in (None, "closed") and r.id in forwarded and
            r.sent_ms < kill_ms - UNREAD_MS]
    record.add("summary", requests=len(requests), kill_after_s=platform.kill_after_s(),
               sent_after_excuse=len(after), lost=len(lost))
    print(f"{len(requests)} requests, {len(after)} of them sent more than {EXCUSED_MS} ms after "
          f"SIGTERM; the process ended {kill_ms - term_ms:.0f} ms after SIGTERM")
    return [f"lost: {r.id} came {r.sent_ms - term_ms:.0f} ms after SIGTERM, went to an order worker, "
            "and got no answer" for r in lost]


s.main(FOLDER, play)
