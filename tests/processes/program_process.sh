#!/bin/sh
# The dispatcher as a process: one line and exit code 1 on a bad configuration, exit code 0 after SIGTERM.
set -u
program=$1 config=$2 log=$(mktemp)
trap 'rm -f "$log"' EXIT
fail() { echo "program_process: $1" >&2; cat "$log" >&2; exit 1; }

unset ROUTER_CONFIG ROUTER_NAME ROUTER_LISTEN ROUTER_DISCOVERY
"$program" 2>"$log" && fail "no configuration was accepted"
ROUTER_CONFIG=/nowhere "$program" 2>>"$log" && fail "a missing file was accepted"
ROUTER_CONFIG=$0 "$program" 2>>"$log" && fail "a file that is no JSON was accepted"
[ "$(wc -l <"$log")" -eq 3 ] || fail "a bad configuration is not one line each"
env --block-signal=HUP sh -c 'kill -HUP $$; ROUTER_CONFIG=/nowhere exec "$1"' sh "$program" 2>"$log" && fail "a missing file was accepted"
[ "$(wc -l <"$log")" -eq 1 ] || fail "a bad configuration is not one line where SIGHUP has come too"

# A configuration is told in a table and what contradicts itself beside it; one that cannot be worked with ends with 1.
folder=$(dirname "$config")
for file in "$config" "$folder/couriers.json"; do
  "$program" check --config "$file" >"$log" 2>&1 || fail "$file does not pass the check"
  grep -q '^attempts ' "$log" || fail "no table of $file"
  grep -q '^warning' "$log" && fail "$file contradicts itself"
done
grep -q 'take-booking.*in its zone, 9490 ms' "$log" || fail "how a keyed class is repeated is not told"
sed 's/"MayProbe": true/"MayProbe": false/' "$folder/couriers.json" >"$log.json"
"$program" check --config "$log.json" 2>&1 >/dev/null | grep -q '^warning: load reports come with probes' || fail "no warning"
sed 's/"MaxAttempts": 5/"MaxAttempts": 0/' "$folder/couriers.json" >"$log.json"
"$program" check --config "$log.json" >"$log" 2>&1 && fail "no attempt at all was accepted"
rm -f "$log.json"
[ "$(wc -l <"$log")" -eq 1 ] || fail "what cannot be worked with is not one line"
"$program" check >"$log" 2>&1 && fail "a check of nothing was accepted"

# An address of the loopback that parallel runs do not share; discovery is not there, and the program serves all the same.
copy=$(mktemp)
trap 'rm -f "$log" "$copy"' EXIT
cp "$config" "$copy"
listen=127.$(($$ % 250 + 1)).$(($$ / 250 % 250)).8:47011
ROUTER_CONFIG=$copy ROUTER_LISTEN=$listen ROUTER_DISCOVERY=127.0.0.1:1 "$program" 2>"$log" &
pid=$!
until grep -q '^discovery: ' "$log"; do  # its first call to discovery has failed: the loop is turning
  kill -0 "$pid" 2>/dev/null || fail "it ended by itself"
  sleep 0.05
done
grep -q '^start: toy listens on '"$listen" "$log" || fail "it does not say where it listens"
# SIGHUP: the file's discovery goes before the variable's; a file that makes no sense changes nothing; again works.
says() {  # waits for the line; the program must not end meanwhile
  until grep -q "$1" "$log"; do
    kill -0 "$pid" 2>/dev/null || fail "it ended instead of saying: $1"
    sleep 0.05
  done
}
kill -HUP "$pid"
says '^reload: configuration read; discovery moves to 127'
echo '{' >"$copy"
kill -HUP "$pid"
says '^reload: the old configuration is kept: configuration: '
cp "$config" "$copy"
kill -HUP "$pid"
says '^reload: configuration read; discovery stays at 127'
kill -TERM "$pid"
wait "$pid" || fail "it did not end well after SIGTERM"
grep -q '^stop: ended' "$log" || fail "it does not say that it ended"

# SIGHUP between the reading of the file and the first turn of the loop: it waits from before the program's first line
# on, and the file is read again.
: >"$log"
ROUTER_CONFIG=$copy ROUTER_LISTEN=$listen ROUTER_DISCOVERY=127.0.0.1:1 \
  env --block-signal=HUP sh -c 'kill -HUP $$; exec "$1"' sh "$program" 2>"$log" &
pid=$!
says '^discovery: '
says '^reload: configuration read; discovery moves to 127'
kill -TERM "$pid"
wait "$pid" || fail "it did not end well after SIGTERM, started with SIGHUP"
exit 0
