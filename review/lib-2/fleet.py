"""Stand-ins for a small deployment: discovery, order workers, clients and the platform.

Everything runs on loopback addresses and the real clock, in one asyncio loop. The dispatcher is the project's own program,
started with the `run` command of deploy/balancer.toml. The stand-ins do what the pages say and nothing else.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    pass


def run_command():
    text = open(os.path.join(ROOT, "deploy/balancer.toml")).read()
    return re.search(r'^run = "(.*)"$', text, re.M).group(1)


_reserved = set()


def free_port():
    """A port that nobody listens on, below those that the system takes for outgoing connections; never the same one twice."""
    try:
        first = int(open("/proc/sys/net/ipv4/ip_local_port_range").read().split()[0])
    except (OSError, ValueError, IndexError):
        first = 32768
    for _ in range(1000):
        port = random.randrange(10000, first) if first > 12000 else random.randrange(10000, 30000)
        if port in _reserved:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _reserved.add(port)
        return port
    raise CannotRun("no free port")


class Record:
    """record.txt: what was sent, answered and run, in ms since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.verdicts = []

    def now(self):
        return (time.monotonic() - self.start) * 1000

    def line(self, who, text):
        self.file.write(f"{self.now():9.1f} {who}: {text}\n")
        self.file.flush()

    def broken(self, text):
        self.verdicts.append(text)
        self.line("BROKEN", text)


async def read_head(reader):
    """Returns (first line, headers by lower-case name), or None at the end of the connection."""
    first = await reader.readline()
    while first in (b"\r\n", b"\n"):
        first = await reader.readline()
    if not first.endswith(b"\r\n"):
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if line == b"\r\n":
            return first.decode().strip(), headers
        if not line.endswith(b"\r\n"):
            return None
        name, _, value = line.decode().partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def response(status, body=b"", headers=()):
    text = {200: "OK", 202: "Accepted", 204: "No Content", 404: "Not Found", 503: "Service Unavailable"}
    out = f"HTTP/1.1 {status} {text.get(status, 'Status')}\r\n"
    for name, value in headers:
        out += f"{name}: {value}\r\n"
    if status != 204:
        out += f"Content-Length: {len(body)}\r\n"
    return out.encode() + b"\r\n" + body


class Server:
    """Serves HTTP/1.1 with keep-alive; a subclass defines handle()."""

    name = "server"

    def __init__(self, record):
        self.record = record
        self.writers = set()
        self.server = None
        self.port = None

    async def start(self, port=None):
        self.port = port or free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=512)
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                if not await self.handle(head[0].split(" "), head[1], reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop_listening(self):
        if self.server:
            self.server.close()
            self.server = None

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        self.stop_listening()
        self.reset_all()


class Discovery(Server):
    """The list and its watch. `told` has when each revision was first written to a call."""

    name = "discovery"

    def __init__(self, record, name="discovery"):
        super().__init__(record)
        self.name = name
        self.rev = 41
        self.entries = {}
        self.changes = []  # (rev, entry)
        self.changed = asyncio.Event()
        self.silent = False

    def put(self, uid, **fields):
        self.rev += 1
        entry = dict(self.entries.get(uid, {"uid": uid, "endpoint": "", "az": "neihu-1", "model": "std-2c", "pod_group": 0,
                                            "state": "up", "capacity_hint": 1.0, "boot_ms": 0}))
        entry.update(fields)
        if entry["state"] == "removed":
            self.entries.pop(uid, None)
        else:
            self.entries[uid] = entry
        self.changes.append((self.rev, entry))
        self.record.line(self.name, f"revision {self.rev}: {uid} is {entry['state']}")
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self):
        return {"rev": self.rev, "all": True, "targets": list(self.entries.values())}

    async def handle(self, first, headers, reader, writer):
        await read_body(reader, headers)
        if first[0] != "GET" or not first[1].startswith("/v1/endpoints"):
            writer.write(response(404))
            return True
        query = dict(pair.split("=") for pair in first[1].partition("?")[2].split("&") if pair)
        if "index" not in query:
            answer = self.whole()
        else:
            index, end = int(query["index"]), time.monotonic() + int(query["wait"]) / 1000
            while self.rev <= index and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
            latest = {}
            for rev, entry in self.changes:
                if rev > index:
                    latest[entry["uid"]] = entry
            answer = {"rev": self.rev, "all": False, "targets": list(latest.values())}
        while self.silent:
            await asyncio.sleep(0.01)
        writer.write(response(200, json.dumps(answer).encode()))
        states = " ".join(f"{t['uid']}={t['state']}" for t in answer["targets"])
        self.record.line(self.name, f"answered {first[1]} with revision {answer['rev']}: {states}")
        return True


class Job:
    def __init__(self, id, attempt_at, headers, body):
        self.id, self.at, self.headers, self.body = id, attempt_at, headers, body
        self.ended = None
        self.cancelled = False


class Worker(Server):
    """An order worker: answers 202, runs jobs in `slots`, reports by call-backs. `run_ms(job)` is the time of a job."""

    def __init__(self, record, uid, news, slots=2, run_ms=lambda job: 100):
        super().__init__(record)
        self.uid, self.name, self.news, self.slots, self.run_ms = uid, uid, news, slots, run_ms
        self.free = asyncio.Semaphore(slots)
        self.jobs = []
        self.running = 0
        self.tasks = set()

    def result(self, job):
        return f"{self.uid} made {job.id}"

    async def handle(self, first, headers, reader, writer):
        at = self.record.now()
        body = await read_body(reader, headers)
        method, target = first[0], first[1]
        if method == "GET":
            report = {"eps": 0, "queue": max(0, len([j for j in self.jobs if j.ended is None]) - self.running),
                      "x0": max(0, self.slots - self.running)}
            writer.write(response(200, json.dumps(report).encode()))
            return True
        if method == "DELETE":
            id = target.rsplit("/", 1)[1]
            self.record.line(self.uid, f"gave up {id}")
            found = [j for j in self.jobs if j.id == id and j.ended is None]
            for job in found:
                job.cancelled = True
            writer.write(response(204 if found else 404))
            return True
        id = headers.get("x-correlation-id", "")
        job = Job(id, self.record.now(), headers, body)
        self.record.line(self.uid, f"attempt of {id}, time left {headers.get('x-time-left-ms')}, began {at:.1f}")
        return await self.take(job, writer)

    async def take(self, job, writer):
        self.jobs.append(job)
        writer.write(response(202))
        self.spawn(self.work(job))
        return True

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def work(self, job):
        async with self.free:
            if job.cancelled:
                job.ended = self.record.now()
                return
            self.running += 1
            self.record.line(self.uid, f"runs {job.id}")
            await self.tell(job, {"state": "started"})
            await asyncio.sleep(self.run_ms(job) / 1000)
            self.running -= 1
        job.ended = self.record.now()
        self.record.line(self.uid, f"done {job.id}")
        await self.tell(job, {"state": "done", "result": self.result(job),
                              "load": {"eps": 0, "queue": 0, "x0": self.slots - self.running}})

    async def tell(self, job, what):
        body = json.dumps({"id": job.id, "from": self.uid, **what}).encode()
        for _ in range(10):
            status = await call(self.news, "POST", "/_jobs/news", body=body, timeout=3)
            if status in (200, 204):
                return
            self.record.line(self.uid, f"news {what['state']} of {job.id} got {status}")
            await asyncio.sleep(0.1)


async def call(address, method, target, headers=(), body=b"", timeout=3):
    """One call on a connection of its own. Returns the status, or None."""
    try:
        return (await asyncio.wait_for(exchange(address, method, target, headers, body), timeout))[0]
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


def request_bytes(method, target, headers, body, host="origin.svc"):
    out = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
    for name, value in headers:
        out += f"{name}: {value}\r\n"
    if method == "POST":
        out += f"Content-Length: {len(body)}\r\n"
    return out.encode() + b"\r\n" + body


async def read_response(reader):
    head = await read_head(reader)
    if head is None:
        raise asyncio.IncompleteReadError(b"", 1)
    status = int(head[0].split(" ")[1])
    if status == 204 or status // 100 == 1:
        return status, b"", head[1]
    return status, await read_body(reader, head[1]), head[1]


async def exchange(address, method, target, headers=(), body=b""):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request_bytes(method, target, headers, body))
        return await read_response(reader)
    finally:
        writer.transport.abort() if reader.at_eof() else writer.close()


def job_headers(id, job_class, left_ms, key=None, tenant="lanting-bento", hint_us=100000):
    headers = [("X-Correlation-Id", id), ("X-Service-Class", job_class), ("X-Account", tenant),
               ("X-Time-Left-Ms", str(left_ms)), ("X-Weight-Hint", str(hint_us)), ("X-Facts", "slots=1")]
    if key:
        headers.append(("Idempotency-Key", key))
    return headers


def new_id():
    return os.urandom(8).hex()


def settings(**changes):
    """Those of taipei-main: 3 attempts, copies allowed, drains kept within 500 ms."""
    base = json.load(open(os.path.join(ROOT, "examples/config.json")))["settings"]
    base["Localities"] = ["neihu-1"]
    base["Skus"] = ["std-2c"]
    for path, value in changes.items():
        node = base
        *parents, last = path.split("__")
        for parent in parents:
            node = node[parent]
        node[last] = value
    return base


class Platform:
    """Starts and ends dispatchers as the platform does."""

    def __init__(self, record, folder, discovery, config_settings, known=None, sockets=1024, admin=True):
        self.record = record
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.private = os.path.join(self.tmp, "t")
        os.mkdir(self.private)
        self.folder = folder
        self.listen = f"127.0.0.1:{free_port()}"
        self.discovery = discovery.address
        self.admin = admin
        self.config = {"name": "n1", "listen": self.listen, "discovery": self.discovery, "seed": os.urandom(8).hex(),
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "settings": config_settings}
        if known:
            self.config["known"] = known
        self.config_path = os.path.join(self.tmp, "config.json")
        self.write_config()
        self.processes = []

    def write_config(self):
        with open(self.config_path + ".new", "w") as out:
            json.dump(self.config, out)
        os.rename(self.config_path + ".new", self.config_path)

    async def start(self, label):
        """Starts `run`. The second address is new with each start; all else is the same."""
        ops = f"127.0.0.1:{free_port()}"
        env = {"PATH": os.environ["PATH"], "TMPDIR": self.private, "ROUTER_NAME": "n1", "ROUTER_LISTEN": self.listen,
               "ROUTER_DISCOVERY": self.discovery, "ROUTER_CONFIG": self.config_path}
        if self.admin:
            env["ROUTER_OPS"] = ops
        log = open(os.path.join(self.tmp, label + ".log"), "w")
        process = await asyncio.create_subprocess_exec("/bin/sh", "-c", run_command(), cwd=ROOT, env=env, stdout=log,
                                                       stderr=log, start_new_session=True)
        process.ops, process.label = ops, label
        self.processes.append(process)
        self.record.line("platform", f"started {label}, pid {process.pid}")
        return process

    async def until_ready(self, timeout=15):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if await call(self.listen, "GET", "/ready", timeout=1) == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the dispatcher did not become ready")

    async def until_healthy(self, process, timeout=6):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if await call(process.ops, "GET", "/admin/health", timeout=1) == 200:
                self.record.line("platform", f"{process.label} says yes")
                return
            await asyncio.sleep(0.02)
        raise CannotRun(f"{process.label} did not become healthy within {timeout} s")

    async def admin_call(self, process, what, uid):
        status = await call(process.ops, "POST", f"/admin/{what}?id={uid}", timeout=1)
        self.record.line("platform", f"{what} {uid} at {process.label}: {status}")
        return status

    def signal(self, process, number):
        if process.returncode is None:
            self.record.line("platform", f"{signal.Signals(number).name} to {process.label}")
            os.kill(process.pid, number)

    async def end(self):
        for process in self.processes:
            if process.returncode is None:
                os.killpg(process.pid, signal.SIGKILL)
            await process.wait()
        for process in self.processes:
            path = os.path.join(self.tmp, process.label + ".log")
            self.record.file.write(f"---- log of {process.label} ----\n{open(path).read()[-20000:]}")
        shutil.rmtree(self.tmp, ignore_errors=True)


def main(case, limit_s=110):
    """Runs `case(record, folder)` and ends with the exit code that the review asks for."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    if not os.access(os.path.join(ROOT, run_command().split()[-1]), os.X_OK):
        print("the program is not built")
        sys.exit(CANNOT_RUN)
    record = Record(folder)
    record.line("case", f"TROUBLE={1 if TROUBLE else 0}")

    async def body():
        task = asyncio.ensure_future(case(record, folder))
        for number in (signal.SIGTERM, signal.SIGINT):  # what was started is ended all the same
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        await asyncio.wait_for(task, limit_s)

    try:
        asyncio.run(body())
    except (Exception, asyncio.CancelledError) as reason:  # whatever it was, it says nothing about the rule
        record.line("case", f"could not run: {reason!r}")
        record.file.write(traceback.format_exc())
        print(f"could not run: {reason!r}")
        sys.exit(CANNOT_RUN)
    for verdict in record.verdicts:
        print("BROKEN:", verdict)
    print("broken" if record.verdicts else "held")
    sys.exit(BROKEN if record.verdicts else HELD)
