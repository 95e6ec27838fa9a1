#!/usr/bin/env bash
# Starts a small deployment on the loopback address: three control
# processes, two entries in each of the four availability zones of
# examples/duna.jsonc, the console, and a simulation of the platform and of
# the 48 VMs. Ctrl-C stops it. With DEMO=1 the script applies a configuration
# change, runs a wave over all VMs under load, prints a report and exits.
set -euo pipefail
cd "$(dirname "$0")/.."
run=run
rm -rf "$run"
mkdir -p "$run/tokens"
started="$(date -u +%Y-%m-%dT%H:%M:%SZ)"
zones=(duna-a duna-b duna-c duna-d)
pools=(photo reports divelog slots office)

pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop EXIT

# Keys: one certificate authority, one folder for each process and one token
# for each pool and for the operator.
bin/arbutusctl keys init --ca-dir "$run/ca"
bin/arbutusctl keys token --ca-dir "$run/ca" operator local "$run/tokens/operator.token"
for pool in "${pools[@]}"; do
  bin/arbutusctl keys token --ca-dir "$run/ca" target "$pool" "$run/tokens/$pool.token"
done
cat > "$run/ctl.jsonc" <<JSON
{
  "control": ["127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"],
  "ca": "ca", "token": "tokens/operator.token"
}
JSON
export ARBUTUS_CONFIG="$run/ctl.jsonc"

# Control processes: three voters in three zones.
members='{"id": "control-1", "link": "127.0.0.1:7001", "admin": "127.0.0.1:7101"},
    {"id": "control-2", "link": "127.0.0.1:7002", "admin": "127.0.0.1:7102"},
    {"id": "control-3", "link": "127.0.0.1:7003", "admin": "127.0.0.1:7103"}'
for number in 1 2 3; do
  id="control-$number"
  bin/arbutusctl keys issue --ca-dir "$run/ca" "$id" "$run/$id"
  cat > "$run/$id.jsonc" <<JSON
{
  "id": "$id", "zone": "${zones[$((number - 1))]}", "keys_dir": "$run/$id", "data_dir": "$run/$id/data",
  "link": "127.0.0.1:700$number", "admin": "127.0.0.1:710$number", "platform": "http://127.0.0.1:7900",
  "members": [
    $members
  ]
}
JSON
  bin/arbutus-control --settings "$run/$id.jsonc" 2> "$run/$id.log" & pids+=($!)
done

# Entries: two in each zone.
announce=()
number=0
for zone in "${zones[@]}"; do
  for index in 1 2; do
    number=$((number + 1))
    id="entry-$zone-$index"
    bin/arbutusctl keys issue --ca-dir "$run/ca" "$id" "$run/$id"
    cat > "$run/$id.jsonc" <<JSON
{
  "id": "$id", "zone": "$zone", "keys_dir": "$run/$id", "data_dir": "",
  "callers": "127.0.0.1:$((8000 + number))", "announce": "127.0.0.1:$((8100 + number))",
  "link": "127.0.0.1:$((7010 + number))", "admin": "127.0.0.1:$((7110 + number))",
  "control": ["127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"], "drain_ms": 500
}
JSON
    bin/arbutus-entry --settings "$run/$id.jsonc" 2> "$run/$id.log" & pids+=($!)
    announce+=(--entry "$zone=127.0.0.1:$((8100 + number))")
  done
done

# Console.
bin/arbutusctl keys issue --ca-dir "$run/ca" console-1 "$run/console-1"
cat > "$run/console-1.jsonc" <<JSON
{
  "id": "console-1", "keys_dir": "$run/console-1", "listen": "127.0.0.1:8443",
  "control": ["127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"]
}
JSON
bin/arbutus-console --settings "$run/console-1.jsonc" 2> "$run/console-1.log" & pids+=($!)

bin/arbutus-standin --document examples/duna.jsonc --tokens "$run/tokens" "${announce[@]}" > "$run/standin.log" 2>&1 & pids+=($!)

for _ in $(seq 100); do bin/arbutusctl status > /dev/null 2>&1 && break; sleep 0.1; done
bin/arbutusctl apply --base 0 --wait examples/duna.jsonc
for _ in $(seq 100); do curl -sf http://127.0.0.1:8001/slots/hello > /dev/null && break; sleep 0.1; done
echo "response of entry-duna-a-1 to a request:"
curl -si http://127.0.0.1:8001/slots/hello
echo
cat <<TEXT

ports for callers: 8001 to 8008, two for each zone; console: https://127.0.0.1:8443
(sign in with the content of $run/tokens/operator.token). Try these commands in
another shell:
  export ARBUTUS_CONFIG=$run/ctl.jsonc
  curl -i http://127.0.0.1:8001/photo/1
  bin/arbutusctl status
  bin/arbutusctl wave start kernel && bin/arbutusctl wave watch kernel
TEXT
if [ "${DEMO:-}" != 1 ]; then
  echo "Ctrl-C stops the deployment."
  wait
  exit 0
fi

# Demonstration: a configuration change, then a wave over all VMs while callers
# send requests.
load() {
  local paths=(photo reports divelog slots office) count=0
  while [ ! -e "$run/load.stop" ]; do
    count=$((count + 1))
    curl -s -o /dev/null -w '%{http_code} %header{x-arbutus-outcome}\n' \
      "http://127.0.0.1:$((8001 + count % 8))/${paths[$((count % 5))]}/$count?sleep_ms=50" >> "$run/load.txt" || echo "cut" >> "$run/load.txt"
  done
}
echo "== a configuration change: the settle time of the wave becomes 1 s"
sed 's/"settle_s": 10/"settle_s": 1/' examples/duna.jsonc > "$run/duna-2.jsonc"
bin/arbutusctl plan "$run/duna-2.jsonc"
bin/arbutusctl apply --base 1 --wait "$run/duna-2.jsonc"
echo "== a wave over all VMs, under load"
sleep 12 # a VM counts as capacity once its target has been live for some time
load & load_pid=$!
bin/arbutusctl wave start kernel
timeout 300 bin/arbutusctl wave watch kernel | tail -n 3
touch "$run/load.stop"
wait "$load_pid"
echo "== responses to the callers: count, status, outcome"
sort "$run/load.txt" | uniq -c
echo "== the report"
bin/arbutusctl report --from "$started" > "$run/report.txt"
head -n 40 "$run/report.txt"
