#!/usr/bin/env python3
"""A discovery and two order workers on the loopback, to try the dispatcher with. Not a load rig: it keeps no queue.

    toy_fleet.py [CONFIG]    the configuration whose zones, kinds and reports the fleet takes up
"""

import hashlib
import http.client
import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

DISPATCHER = "127.0.0.1:5000"
SETTINGS = json.load(open(sys.argv[1] if len(sys.argv) > 1 else "examples/config.json"))["settings"]
REPORT = {"fail_rate": 0, "q": 0, "rif": 0, "x0": 2}
WORKERS = {"s-one": 6001, "s-two": 6002}


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def answer(self, status, body=b""):
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


class Discovery(Handler):
    def do_GET(self):
        query = parse_qs(urlparse(self.path).query)
        if "index" in query:  # a watch: nothing ever changes here
            time.sleep(int(query["wait"][0]) / 1000)
        targets = [] if "index" in query else [
            {"uid": uid, "endpoint": f"127.0.0.1:{port}", "az": SETTINGS["Localities"][i % len(SETTINGS["Localities"])],
             "model": SETTINGS["Skus"][i % len(SETTINGS["Skus"])], "pod_group": 0, "state": "up",
             "capacity_hint": 2.0, "boot_ms": 0} for i, (uid, port) in enumerate(WORKERS.items())]
        self.answer(200, json.dumps({"rev": 1, "all": "index" not in query, "targets": targets}).encode())


class Worker(Handler):
    def do_GET(self):
        self.answer(200, json.dumps({c: REPORT[c] for c in SETTINGS["Report"]["Columns"]}).encode())

    def do_DELETE(self):
        print(f"{self.server.uid}: gave up {self.path}", flush=True)
        self.answer(204)

    def do_POST(self):
        left, seen, sha = int(self.headers.get("Content-Length", 0)), b"", hashlib.sha256()
        while left > 0:  # piece by piece: it may be long
            piece = self.rfile.read(min(left, 1 << 16))
            if not piece:
                return
            left -= len(piece)
            sha.update(piece)
            seen = (seen + piece)[:100]
        what = seen.decode(errors="replace") if len(seen) < 100 else "a body with SHA-256 " + sha.hexdigest()
        self.answer(202)
        threading.Thread(target=self.work, args=(self.headers["X-Correlation-Id"], what), daemon=True).start()

    def work(self, job, what):
        print(f"{self.server.uid}: {job} started", flush=True)
        self.tell(job, {"state": "started"})
        time.sleep(0.3)
        self.tell(job, {"state": "done", "result": f"{self.server.uid} cooked: {what}",
                        "load": {"fail_rate": 0, "q": 0, "x0": 2}})

    def tell(self, job, news):
        connection = http.client.HTTPConnection(DISPATCHER, timeout=5)
        connection.request("POST", "/_jobs/news", json.dumps({"id": job, "from": self.server.uid, **news}))
        connection.getresponse().read()
        connection.close()


def serve(port, handler, uid=""):
    server = ThreadingHTTPServer(("127.0.0.1", port), handler)
    server.daemon_threads = True
    server.uid = uid
    threading.Thread(target=server.serve_forever, daemon=True).start()


if __name__ == "__main__":
    serve(8500, Discovery)
    for name, number in WORKERS.items():
        serve(number, Worker, name)
    print("discovery on 127.0.0.1:8500, order workers on", list(WORKERS.values()), flush=True)
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        pass
