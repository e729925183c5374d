#!/usr/bin/env python3
"""Hands in a small order and one of 50 MB, and shows both answers. Exits with 1 unless both were served.

    two_orders.py [CONFIG]    the configuration whose last class and first tenant, if it has any, the orders are of
"""

import hashlib
import http.client
import json
import os
import sys
import time

DISPATCHER = "127.0.0.1:5000"
SETTINGS = json.load(open(sys.argv[1] if len(sys.argv) > 1 else "examples/config.json"))["settings"]
KIND = SETTINGS["Lanes"][-1]


def order(body):
    connection = http.client.HTTPConnection(DISPATCHER, timeout=60)
    start = time.monotonic()
    headers = {"X-Correlation-Id": os.urandom(8).hex(), "X-Service-Class": KIND["Name"], "X-Time-Left-Ms": "30000",
               "X-Weight-Hint": "300000"}
    if "Tenants" in SETTINGS:
        headers["X-Account"] = SETTINGS["Tenants"][0]["Name"]
    if KIND["Effect"] == "keyed":
        headers["Idempotency-Key"] = os.urandom(16).hex()
    connection.request("POST", "/api/menu", body, headers)
    answer = connection.getresponse()
    text = answer.read().decode()
    connection.close()
    print(f"{len(body)} bytes: {answer.status} after {time.monotonic() - start:.2f} s: {text}", flush=True)
    return answer.status == 200 and (len(body) < 1000 or hashlib.sha256(body).hexdigest() in text)


def ready():
    try:
        connection = http.client.HTTPConnection(DISPATCHER, timeout=5)
        connection.request("GET", "/ready")
        return connection.getresponse().status == 200
    except OSError:
        return False


for _ in range(200):
    if ready():
        break
    time.sleep(0.05)
else:
    sys.exit("the dispatcher does not become ready")
sys.exit(0 if order(b"one bento") and order(os.urandom(50_000_000)) else 1)
