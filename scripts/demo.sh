#!/usr/bin/env bash
# Runs a complete deployment over loopback: a platform, 2 entries, 6 agents with engines and one plain service in 2 failure
# domains, a rollout of 64 MB of random weights, and callers' requests. Exits by itself, with a non-zero code on any failure.
set -euo pipefail

bin=${BIN:-bin}
dir=$(mktemp -d)
base=${DEMO_PORT:-17000}
pids=()

finish() {
  code=$?
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
  if [ "$code" -ne 0 ]; then
    echo "demo: failed; the last lines of each log:" >&2
    tail -n 3 "$dir"/*.log >&2 || true
  fi
  rm -rf "$dir"
  exit "$code"
}
trap finish EXIT
trap 'exit 1' INT TERM

start() { # name, command...
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
  echo $! >"$dir/$name.pid"
}

rss() { # name: resident memory in MB
  awk '/VmRSS/ { printf "%d", $2 / 1024 }' "/proc/$(cat "$dir/$1.pid")/status"
}

say() { printf '\n== %s\n' "$*"; }

ready() { # url
  for _ in $(seq 100); do
    if curl -fsS -o /dev/null "$1" 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "demo: $1 is not ready" >&2
  return 1
}

domain_of() { if [ "$1" -le $(($2 / 2)) ]; then echo domain-a; else echo domain-b; fi; }

say "64 MB of random weights and their manifest"
mkdir -p "$dir/weights/gym/desk/v1"
head -c 67108864 /dev/urandom >"$dir/weights/gym/desk/v1/content"
"$bin/springrail" manifest --chunk 256KiB "$dir/weights/gym/desk/v1/content" "$dir/weights/gym/desk/v1/manifest"
sum=$(sha256sum "$dir/weights/gym/desk/v1/manifest" | cut -d' ' -f1)

platform=127.0.0.1:$base
admin=demo-admin-token
admin_hash=$("$bin/springrail" hash-token "$admin")

# The VM list: 2 entries, 6 engines and 1 plain service.
{
  echo '['
  for i in 1 2; do
    echo "{\"id\":\"entry-$i\",\"domain\":\"$(domain_of $i 2)\",\"role\":\"entry\",\"address\":\"127.0.0.1:$((base + 100 + i))\"},"
  done
  for i in 1 2 3 4 5 6; do
    echo "{\"id\":\"engine-$i\",\"domain\":\"$(domain_of $i 6)\",\"role\":\"upstream\",\"pool\":\"desk\",\"engine\":true,\"address\":\"127.0.0.1:$((base + 200 + i))\"},"
  done
  echo "{\"id\":\"service-1\",\"domain\":\"domain-a\",\"role\":\"upstream\",\"pool\":\"frontdesk\",\"address\":\"127.0.0.1:$((base + 207))\"}"
  echo ']'
} >"$dir/vms.json"

platform_section() {
  cat <<EOF
[platform]
log = "http://$platform"
vm_list = "http://$platform"
origin = "http://$platform"

EOF
}

process_sections() { # vm, domain, internal port, status port
  cat <<EOF
[process]
vm = "$1"
domain = "$2"

[internal]
listen = "127.0.0.1:$3"
plain = true

[status]
listen = "127.0.0.1:$4"

EOF
}

agent_settings() { # vm, domain, number, pool, engine
  process_sections "$1" "$2" $((base + 200 + $3)) $((base + 300 + $3))
  platform_section
  cat <<EOF
[vm]
pool = "$4"
engine = $5

[swarm]
uplink_bytes_per_second = 33554432
memory_bytes = 268435456

[upstream]
url = "http://127.0.0.1:$((base + 400 + $3))"
local = "127.0.0.1:$((base + 500 + $3))"
EOF
}

say "starting the platform, engines, entries and agents"
start platform "$bin/springrail-standin" platform --listen "$platform" --weights "$dir/weights" --vms "$dir/vms.json" \
  --origin-link 64MiB --list-lag 200ms
ready "http://$platform/vms"
for i in 1 2; do
  {
    process_sections "entry-$i" "$(domain_of $i 2)" $((base + 100 + i)) $((base + 110 + i))
    platform_section
    cat <<EOF
[membership]
far_every = "500ms"

[caller]
listen = "127.0.0.1:$((base + 120 + i))"
plain = true

[operator]
listen = "127.0.0.1:$((base + 130 + i))"
plain = true
admin_token_sha256 = ["$admin_hash"]
EOF
  } >"$dir/entry-$i.toml"
  "$bin/springrail-entry" --check --settings "$dir/entry-$i.toml" >/dev/null
  start "entry-$i" "$bin/springrail-entry" --settings "$dir/entry-$i.toml"
done
for i in 1 2 3 4 5 6; do
  start "standin-$i" "$bin/springrail-standin" engine --listen "127.0.0.1:$((base + 400 + i))"
  agent_settings "engine-$i" "$(domain_of $i 6)" $i desk true >"$dir/engine-$i.toml"
  start "engine-$i" "$bin/springrail-agent" --settings "$dir/engine-$i.toml"
done
start standin-7 "$bin/springrail-standin" service --listen "127.0.0.1:$((base + 407))"
agent_settings service-1 domain-a 7 frontdesk false >"$dir/service-1.toml"
start service-1 "$bin/springrail-agent" --settings "$dir/service-1.toml"
for i in 1 2; do ready "http://127.0.0.1:$((base + 110 + i))/readyz"; done
for i in 1 2 3 4 5 6 7; do ready "http://127.0.0.1:$((base + 300 + i))/readyz"; done

export SPRINGRAIL_SERVER=http://127.0.0.1:$((base + 131)) SPRINGRAIL_ORGANISATION=gym
caller=http://127.0.0.1:$((base + 122))

say "an organisation, and a rollout by its operator"
SPRINGRAIL_TOKEN=$admin "$bin/springrail" organisation put gym --operator-token gym-operator --caller-key gym-caller
export SPRINGRAIL_TOKEN=gym-operator
begun=$(date +%s%N)
rollout=$("$bin/springrail" rollout create --model desk --version-name v1 --source gym/desk/v1 --min-ready 2)
"$bin/springrail" rollout status --watch --timeout 60s "$rollout"
lasted=$((($(date +%s%N) - begun) / 1000000))

say "a caller's request to the other entry, with a streamed answer"
request=demo-request-1
for _ in $(seq 50); do
  code=$(curl -sS -o "$dir/answer" -D "$dir/head" -w '%{http_code}' "$caller/v1/chat/completions" \
    -H 'Authorization: Bearer gym-caller' -H "X-Request-Id: $request" \
    -d '{"model":"desk","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"Draft a renewal offer."}]}')
  [ "$code" = 200 ] && break
  sleep 0.1
done
cat "$dir/answer"
grep -i '^springrail-v' "$dir/head"
grep -q '"system_fingerprint":"v1"' "$dir/answer"
grep -q 'data: \[DONE\]' "$dir/answer"

say "a call to the plain service with an idempotency key, sent twice"
for _ in 1 2; do
  curl -fsS "$caller/svc/frontdesk/freeze" -H 'Authorization: Bearer gym-caller' -H 'Idempotency-Key: freeze-1' -d 'member 7'
done
curl -fsS "http://127.0.0.1:$((base + 407))/stats" | grep '"freeze-1":1' > /dev/null
echo "the service ran it once"

say "the events of the rollout"
"$bin/springrail" timeline --rollout "$rollout" >"$dir/timeline"
grep -v -e origin-drawn "$dir/timeline" | head -n 40
for v in entry-1 engine-1 engine-2 engine-3 engine-4 engine-5 engine-6; do grep -q "$v" "$dir/timeline"; done

say "checks and measurements"
for i in 1 2 3 4 5 6; do
  curl -fsS "http://127.0.0.1:$((base + 400 + i))/stats" | grep "\"$sum\":1" > /dev/null
done
echo "every engine loaded the content of manifest $sum"
drawn=$(curl -fsS "http://$platform/stats" | sed 's/.*"origin_bytes":\([0-9]*\).*/\1/')
echo "live on 6 of 6 VMs after $lasted ms; the origin sent $drawn bytes, $((drawn * 100 / 67108864)) % of a copy"

curl -fsS "http://127.0.0.1:$((base + 301))/debug/vars" | grep '"Received"' > /dev/null
curl -fsS "http://127.0.0.1:$((base + 111))/debug/vars" | grep '"answered"\|"config_offset"' > /dev/null
curl -fsS -o /dev/null "http://127.0.0.1:$((base + 301))/livez"
echo "memory: entry-1 $(rss entry-1) MB, engine-1's agent $(rss engine-1) MB with 64 MB of chunks, service-1's agent $(rss service-1) MB"

say "stopping every process"
for p in "${pids[@]}"; do kill -TERM "$p"; done
for p in "${pids[@]}"; do wait "$p"; done
pids=()
echo "all processes stopped without an error"
