#!/usr/bin/env bash
# Shows the main job: callers' requests of one deployment go through thornhollow
# to stand-in engines and services and come back.
#   scripts/demo.sh
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/packages.sh
scripts/build.sh default

bin=build/bin
work=$(mktemp -d)
processes=()
stop_all() {
  kill "${processes[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

mkdir -p "$work/values/thornhollow"
cat examples/granite_relay/{endpoints,levels,teams}.yaml \
  >"$work/values/thornhollow/manifest"

"$bin/fake-platform" --listen=127.0.0.1:18501 --values_dir="$work/values" \
  >/dev/null &
processes+=($!)
for engine in $(seq 1 13); do
  "$bin/fake-engine" --listen="127.0.0.1:$((19100 + engine))" --slots=16 \
    >/dev/null &
  processes+=($!)
done
for service in $(seq 1 5); do
  "$bin/fake-service" --listen="127.0.0.1:$((19300 + service))" >/dev/null &
  processes+=($!)
done
"$bin/thornhollowd" --settings=examples/settings/worcester-hall.yaml \
  2>"$work/daemon.log" &
daemon=$!
processes+=("$daemon")

until curl -sf -o "$work/ready" http://127.0.0.1:18101/ready; do sleep 0.1; done

ask() {
  curl -sS -H "Authorization: Bearer $1-example-token" -d "$2" \
    "http://127.0.0.1:18001$3"
}
echo "-- a driver's route note, streamed"
ask drivers-worcester '{"model":"dispatch-assistant","messages":[{"role":"user","content":"route to the shelter in Keene"}],"max_tokens":4,"stream":true}' /v1/chat/completions
echo "-- a coordinator's pallet plan, whole"
ask shelter-coordinators '{"model":"warehouse-ledger","messages":[{"role":"user","content":"plan the pallets"}],"max_tokens":8}' /v1/chat/completions
echo "-- a dispatch order"
ask dispatch-office '{"order":1}' /dispatch-orders
echo
echo "-- a caller without a token"
curl -sS -d '{}' http://127.0.0.1:18001/v1/chat/completions
kill -TERM "$daemon"
wait "$daemon" && echo "-- stopped gracefully"
