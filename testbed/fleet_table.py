#!/usr/bin/env python3
"""Tabulates what a whole fleet did, by second or by worker, from the logs of its dispatchers.

    testbed/fleet_table.py FOLDER [--by worker]

FOLDER holds one .log file per dispatcher, with lines `SECONDS KIND: TEXT`, written with --trace. Prints a row for each
second or, with --by worker, for each worker. Counts are sums over all dispatchers:

  accepted served rejected failed disconnected   requests that arrived, and how they ended (disconnected: by the client)
  open                       requests not answered at the end of the second
  pending                    open requests without an open attempt
  sent, and the outcomes     attempts: success failure rejected_attempts connect_failed connection_reset cancelled
  bad                        attempts at a worker with a failed connect or reset (at any dispatcher) and no success since
  health_checks, failed_checks   health checks of workers
  polls lists entries failed_polls   polls of discovery, received lists, entries in them, failed polls
  start                      dispatchers that started
"""
import argparse
import collections
import pathlib

SECOND_COLUMNS = ("start accepted served rejected failed disconnected open pending sent success failure rejected_attempts "
                  "connect_failed connection_reset cancelled bad health_checks failed_checks polls lists entries "
                  "failed_polls").split()
WORKER_COLUMNS = ("sent success failure rejected_attempts connect_failed connection_reset cancelled "
                  "health_checks").split()


def read_events(folder):
    """Yields (seconds, dispatcher, line number, words) for each log line that starts with a time."""
    for path in sorted(pathlib.Path(folder).glob("*.log")):
        for number, line in enumerate(path.open(errors="replace")):
            seconds, _, text = line.partition(" ")
            try:
                yield float(seconds), path.stem, number, text.split()
            except ValueError:
                continue


class FleetTable:
    """Counts by second and by worker. Events must be passed to add() in order of time."""

    def __init__(self):
        self.seconds = collections.defaultdict(collections.Counter)
        self.workers = collections.defaultdict(collections.Counter)
        self.open_requests = {}  # time of arrival by (dispatcher, request)
        self.open_attempts = collections.Counter()  # by (dispatcher, request)
        self.failing_workers = set()  # workers with a failed connect or a reset and no success since
        self.last_second = None

    def add(self, seconds, dispatcher, words):
        second = int(seconds)
        self.close_seconds_before(second)
        row = self.seconds[second]
        kind = words[0]
        if kind == "start:":
            self.add_start(row, dispatcher)
        elif kind == "discovery:" and "failed:" in words:
            row["failed_polls"] += 1
        elif kind == "trace:":
            self.add_trace(row, seconds, dispatcher, words[1:])

    def close_seconds_before(self, second):
        if self.last_second is not None:
            for finished in range(self.last_second, second):
                row = self.seconds[finished]
                row["open"] = len(self.open_requests)
                row["pending"] = sum(1 for key in self.open_requests if self.open_attempts[key] == 0)
        self.last_second = second

    def add_start(self, row, dispatcher):
        row["start"] += 1
        for key in [key for key in self.open_requests if key[0] == dispatcher]:
            del self.open_requests[key]  # lost when the previous process was killed

    def add_trace(self, row, seconds, dispatcher, words):
        event = words[0]
        if event == "poll":
            row["polls"] += 1
            return
        if event == "list":
            row["lists"] += 1
            row["entries"] += int(words[1])
            return
        key, details = (dispatcher, words[1]), words[3:]
        if event == "accepted":
            row["accepted"] += 1
            self.open_requests[key] = seconds
        elif event == "answered":
            row[details[0]] += 1
            self.open_requests.pop(key, None)
            self.open_attempts.pop(key, None)
        elif event == "sent":
            self.add_attempt(row, key, details[0])
        elif event == "ended":
            self.add_attempt_end(row, key, details[0], details[1])
        elif event == "health_check":
            row["health_checks"] += 1
            row["failed_checks"] += details[1] != "success"
            self.workers[details[0]]["health_checks"] += 1

    def add_attempt(self, row, key, worker):
        row["sent"] += 1
        row["bad"] += worker in self.failing_workers
        self.workers[worker]["sent"] += 1
        self.open_attempts[key] += 1

    def add_attempt_end(self, row, key, worker, outcome):
        column = "rejected_attempts" if outcome == "rejected" else outcome
        row[column] += 1
        self.workers[worker][column] += 1
        self.open_attempts[key] -= 1
        if outcome in ("connect_failed", "connection_reset"):
            self.failing_workers.add(worker)
        elif outcome == "success":
            self.failing_workers.discard(worker)


def print_rows(first_column, rows, columns):
    print(first_column, *columns)
    for key in sorted(rows):
        print(key, *(rows[key][column] for column in columns))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("folder")
    parser.add_argument("--by", choices=["second", "worker"], default="second")
    options = parser.parse_args()
    table = FleetTable()
    for seconds, dispatcher, _, words in sorted(read_events(options.folder)):
        table.add(seconds, dispatcher, words)
    if options.by == "worker":
        print_rows("worker", table.workers, WORKER_COLUMNS)
    else:
        print_rows("second", table.seconds, SECOND_COLUMNS)


if __name__ == "__main__":
    main()
