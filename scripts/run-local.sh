#!/usr/bin/env bash
# Starts a small deployment on the loopback address: one control process,
# two entries in each of two availability zones, the stand-in targets of
# examples/duna.jsonc and the stand-in platform. Ends with Ctrl-C, or after
# the demonstration when DEMO=1.
set -euo pipefail
cd "$(dirname "$0")/.."
run=run
rm -rf "$run"
mkdir -p "$run/tokens"
ctl() { bin/arbutusctl --ca "$run/ca" --token "$run/tokens/operator.token" --control 127.0.0.1:7101 "$@"; }
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop EXIT

bin/arbutusctl keys init --ca-dir "$run/ca"
bin/arbutusctl keys token --ca-dir "$run/ca" operator local "$run/tokens/operator.token"
for pool in photo reports divelog slots office; do
  bin/arbutusctl keys token --ca-dir "$run/ca" target "$pool" "$run/tokens/$pool.token"
done

bin/arbutusctl keys issue --ca-dir "$run/ca" control-1 "$run/control-1"
cat > "$run/control-1.jsonc" <<JSON
{
  "id": "control-1", "zone": "duna-a", "keys_dir": "$run/control-1", "data_dir": "$run/control-1/data",
  "link": "127.0.0.1:7001", "admin": "127.0.0.1:7101",
  "members": [{"id": "control-1", "link": "127.0.0.1:7001", "admin": "127.0.0.1:7101"}],
  "platform": "http://127.0.0.1:7900"
}
JSON
bin/arbutus-control --settings "$run/control-1.jsonc" 2> "$run/control-1.log" & pids+=($!)

entries=()
number=0
for zone in duna-a duna-b; do
  for which in 1 2; do
    number=$((number + 1))
    id="entry-$zone-$which"
    bin/arbutusctl keys issue --ca-dir "$run/ca" "$id" "$run/$id"
    cat > "$run/$id.jsonc" <<JSON
{
  "id": "$id", "zone": "$zone", "keys_dir": "$run/$id", "data_dir": "",
  "callers": "127.0.0.1:$((8000 + number))", "announce": "127.0.0.1:$((8100 + number))",
  "link": "127.0.0.1:$((7010 + number))", "admin": "127.0.0.1:$((7110 + number))",
  "control": ["127.0.0.1:7001"], "drain_ms": 500
}
JSON
    bin/arbutus-entry --settings "$run/$id.jsonc" 2> "$run/$id.log" & pids+=($!)
    entries+=(--entry "$zone=127.0.0.1:$((8100 + number))")
  done
done

bin/arbutus-standin --document examples/duna.jsonc --tokens "$run/tokens" "${entries[@]}" > "$run/standin.log" 2>&1 & pids+=($!)

bin/arbutusctl keys issue --ca-dir "$run/ca" console-1 "$run/console-1"
bin/arbutusctl keys token --ca-dir "$run/ca" viewer console "$run/tokens/console.token"
cat > "$run/console-1.jsonc" <<JSON
{
  "id": "console-1", "keys_dir": "$run/console-1", "listen": "127.0.0.1:7200",
  "control": ["127.0.0.1:7101"], "sample_token": "$run/tokens/console.token"
}
JSON
bin/arbutus-console --settings "$run/console-1.jsonc" 2> "$run/console-1.log" & pids+=($!)

for _ in $(seq 50); do ctl status > /dev/null 2>&1 && break; sleep 0.1; done
ctl apply --wait examples/duna.jsonc
for _ in $(seq 50); do curl -sf http://127.0.0.1:8001/slots/hello > /dev/null && break; sleep 0.1; done
echo "a request to entry-duna-a-1:"
curl -si http://127.0.0.1:8001/slots/hello
echo
echo
echo "callers' ports: 8001 and 8002 (duna-a), 8003 and 8004 (duna-b); try"
echo "  curl -i http://127.0.0.1:8001/photo/1"
echo "  bin/arbutusctl --ca run/ca --token run/tokens/operator.token --control 127.0.0.1:7101 status"
echo "console of forms: https://127.0.0.1:7200 (its certificate is signed by run/ca/ca.pem);"
echo "  sign in with the line in run/tokens/operator.token"
if [ "${DEMO:-}" = 1 ]; then
  ctl status
  ctl timeline | tail -n 5
  exit 0
fi
echo "Ctrl-C ends it."
wait
