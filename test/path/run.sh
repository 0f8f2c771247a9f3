#!/usr/bin/env bash
# Measures the latency that one VM adds and the request rate that it sustains.
# The platform, an engine, the VM (on one core) and the load generator run as
# separate processes. Needs bin/bramleygw (make build). All processes listen on
# loopback and are stopped when the script ends.
set -euo pipefail
cd "$(dirname "$0")/../.."
bin=$PWD/bin/bramleygw
dir=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; rm -rf "$dir"' EXIT

start() { # NAME COMMAND...: starts a process and waits for its first line of output
  local name=$1
  shift
  "$@" >"$dir/$name" 2>"$dir/$name.log" &
  pids+=($!)
  until [ -s "$dir/$name" ]; do sleep 0.05; done
}

start platform "$bin" standin platform
platform=$(cat "$dir/platform")
# The engine takes almost no time itself, so that the path through the VM is
# what is measured.
start engine "$bin" standin engine --model short --prefill 1ns --decode 1us --running 512
engine=$(cat "$dir/engine")

export BRAMLEYGW_OPERATOR_KEY=measure
cat >"$dir/vm.yaml" <<EOF
name: vm-1
availability_zone: a
caller: {address: 127.0.0.1:18080}
operator: {address: 127.0.0.1:18081}
peer: {address: 127.0.0.1:18082}
platform: $platform
operator_keys:
  - name: measure
    digest: $(printf measure | sha256sum | cut -d' ' -f1)
log: {level: error}
EOF
GOMAXPROCS=1 "$bin" serve --settings "$dir/vm.yaml" 2>"$dir/vm.log" &
pids+=($!)
vm=$!
export BRAMLEYGW_OPERATOR_URL=http://127.0.0.1:18081
curl -sf -X POST "http://$platform/standin/vms" \
  -d '{"name":"vm-1","availability_zone":"a","address":"127.0.0.1:18082","role":"router","state":"live"}'
until "$bin" status >/dev/null 2>&1; do sleep 0.1; done
"$bin" account create measure --rate 1e9 --burst 1e10 >/dev/null
"$bin" model create short --weights w1 >/dev/null
"$bin" target create engine-1 --kind engine --address "$engine" --serves short --weights w1 --availability-zone a >/dev/null
BRAMLEYGW_KEY=$("$bin" key issue measure --account measure --format json | sed -n 's/.*"key": "\(bgw-[^"]*\)".*/\1/p')
export BRAMLEYGW_KEY
url=http://127.0.0.1:18080
until "$bin" load --url $url --model short --callers 1 --length 100ms | grep -q 'failed 0'; do sleep 0.2; done

echo "maximum requests per second, the VM on one core:"
"$bin" load --url $url --model short --callers 64 --length 5s | tee "$dir/max"
rate=$(sed -n 's/.*rate \([0-9]*\)\/s.*/\1/p' "$dir/max")
echo "added latency, paired requests, at half of that rate:"
"$bin" load --url $url --direct "http://$engine" --model short --callers 16 --rate $((rate / 2)) --length 8s
echo "added latency, paired requests, a prompt of 30,000 bytes, 200 requests per second:"
"$bin" load --url $url --direct "http://$engine" --model short --callers 16 --rate 200 --length 5s --prompt-bytes 30000
echo "processor time and resident memory (KiB) of the VM:"
ps -o cputime= -o rss= -p $vm
