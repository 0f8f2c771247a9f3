#!/usr/bin/env bash
# Runs the commands of docs/OPERATORS.md against a fleet on loopback, as a new
# operator would, and prints each command with its output. Needs bin/bramleygw
# (make build).
set -euo pipefail
cd "$(dirname "$0")/../.."
PATH=$PWD/bin:$PATH
dir=$(mktemp -d)
bramleygw demo --serve --ready-file "$dir/ready.json" >"$dir/demo.log" 2>&1 &
demo=$!
trap 'kill $demo 2>/dev/null; wait $demo 2>/dev/null || true; rm -rf "$dir"' EXIT
until [ -s "$dir/ready.json" ]; do sleep 0.1; done
field() { sed -n "s/.*\"$1\": \"\([^\"]*\)\".*/\1/p" "$dir/ready.json" | head -1; }
BRAMLEYGW_OPERATOR_KEY=$(field operator_key)
BRAMLEYGW_OPERATOR_URL=$(field operator)
CALLER=$(field caller)
export BRAMLEYGW_OPERATOR_KEY BRAMLEYGW_OPERATOR_URL

show() { # COMMAND...: prints the command, runs it and prints its output
  echo "\$ $*"
  "$@" || echo "(exit status $?)"
  echo
}
chat() { # KEY MODEL TEXT STREAM: sends one chat request
  curl -sN "$CALLER/v1/chat/completions" -H "Authorization: Bearer $1" \
    -d "{\"model\":\"$2\",\"max_tokens\":48,\"stream\":$4,\"messages\":[{\"role\":\"user\",\"content\":\"$3\"}]}"
}

show bramleygw account create cesis --rate 20000 --burst 80000
show bramleygw key issue cesis-1 --account cesis
key=$(bramleygw key issue cesis-2 --account cesis --format json | sed -n 's/.*"key": "\(bgw-[^"]*\)".*/\1/p')
show bramleygw model update ledger-assistant --accounts kasetne-riga --accounts kasetne-liepaja --accounts cesis
show bramleygw objective create fast --measure ttft --threshold-ms 400 --goal 0.95
show bramleygw objective create complete --measure completion --goal 0.999
sleep 1
echo "\$ curl $CALLER/v1/chat/completions ...   # with the key cesis-2"
chat "$key" ledger-assistant "Reconcile March." false
echo; echo

echo "# requests run throughout the roll"
for worker in 1 2 3; do
  (for i in $(seq 1 60); do chat "$key" ledger-assistant "Slip $worker $i" true | tail -2 | head -1; done >"$dir/load-$worker") &
done
show bramleygw plan roll-weights ledger-assistant --weights w2 --at-once 1
id=$(bramleygw plan list --format json | sed -n 's/.*"name": "\([0-9-]*roll-weights-[0-9]*\)".*/\1/p' | tail -1)
show bramleygw plan confirm "$id" --wait
wait $(jobs -p | grep -v "^$demo$") || true
echo "# streams that ended whole, of 180: $(cat "$dir"/load-* | grep -c 'DONE')"
echo

echo "# the key is withdrawn while a stream runs"
(for i in $(seq 1 40); do chat "$key" ledger-assistant "Long answer $i" true | grep -A1 'event: error' && break; done >"$dir/withdrawn") &
stream=$!
sleep 0.3
show bramleygw key withdraw cesis-2
wait $stream || true
cat "$dir/withdrawn"
echo "\$ curl $CALLER/v1/chat/completions ...   # with the withdrawn key"
chat "$key" ledger-assistant "Again" false
echo; echo
show bramleygw status
show bramleygw report slo
show bramleygw audit
show bramleygw account update nobody --rate 5
