#!/usr/bin/env python3
"""What a whole fleet did, second by second, from the logs of its dispatchers.

    testbed/fleet_table.py FOLDER [--by worker]

FOLDER holds one .log a dispatcher, each line `SECONDS KIND: TEXT`, of programs started with --trace. The first form
prints a row for each second, the second one for each order worker. Counts are sums over all dispatchers:

  taken served nack failed left   commands that came, and how they ended (left: the client went first)
  open                            commands taken and not ended at the end of the second
  held                            of these, those that are at no order worker
  sent, and the ends of attempts  unreach(able), broken, overload(ed), failure, withdrawn
  bad                             sends to an order worker that some dispatcher had found unreachable or broken before
  probes answered, failed         each is one call to an order worker
  calls, lists, lines, lost       to discovery: calls, answers, entries in them, calls that failed
  start                           dispatchers that came up
"""
import argparse
import collections
import pathlib

COLUMNS = ("start taken served nack failed left open held sent success failure overloaded unreachable broken "
           "withdrawn bad probes lost_probes calls lists lines lost").split()


def events(folder):
    for path in sorted(pathlib.Path(folder).glob("*.log")):
        for number, line in enumerate(path.open(errors="replace")):
            at, _, rest = line.partition(" ")
            try:
                yield float(at), path.stem, number, rest.split()
            except ValueError:
                continue  # not a line of ours


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("folder")
    parser.add_argument("--by", choices=["second", "worker"], default="second")
    options = parser.parse_args()
    rows = collections.defaultdict(collections.Counter)
    workers = collections.defaultdict(collections.Counter)
    open_commands, attempts, found_bad = {}, collections.Counter(), set()
    last = None
    for at, node, _, words in sorted(events(options.folder)):
        second = int(at)
        if last is not None and second != last:
            for s in range(last, second):
                rows[s]["open"] = len(open_commands)
                rows[s]["held"] = sum(1 for key in open_commands if attempts[key] == 0)
        last = second
        row = rows[second]
        if words[0] == "start:":
            row["start"] += 1
            for key in [k for k in open_commands if k[0] == node]:
                del open_commands[key]  # it was killed; they are lost
        elif words[0] == "names:" and "failed:" in words:
            row["lost"] += 1
        elif words[0] != "trace:":
            continue
        elif words[1] == "call":
            row["calls"] += 1
        elif words[1] == "list":
            row["lists"] += 1
            row["lines"] += int(words[2])
        else:
            what, key, text = words[1], (node, words[2]), words[4:]
            if what == "taken":
                row["taken"] += 1
                open_commands[key] = at
            elif what == "answered":
                row[text[0]] += 1
                open_commands.pop(key, None)
                attempts.pop(key, None)
            elif what == "sent":
                row["sent"] += 1
                workers[text[0]]["sent"] += 1
                row["bad"] += text[0] in found_bad
                attempts[key] += 1
            elif what == "ended":
                row[text[1]] += 1
                workers[text[0]][text[1]] += 1
                attempts[key] -= 1
                if text[1] in ("unreachable", "broken"):
                    found_bad.add(text[0])
                elif text[1] == "success":
                    found_bad.discard(text[0])
            elif what == "probed":
                row["probes"] += 1
                row["lost_probes"] += text[1] != "success"
                workers[text[0]]["probes"] += 1
    if options.by == "worker":
        table, names, first = workers, "sent success failure overloaded unreachable broken withdrawn probes".split(), "worker"
    else:
        table, names, first = rows, COLUMNS, "second"
    print(first, *names)
    for key in sorted(table):
        print(key, *(table[key][name] for name in names))


if __name__ == "__main__":
    main()
