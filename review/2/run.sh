#!/bin/bash
# An entry VM stands still for 6.8 s and wakes again. Meanwhile a key is taken away. Does the VM run what is sent with that
# key later than RevokeMs after the acknowledgement?
# Exit: 1 rule broken, 0 rule held, 2 the case couldn't run. TROUBLE=0 leaves out the freeze.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/src/guavafront
stand_in=$root/build-review/tests/stand_in/stand_in_upstream
trouble=${TROUBLE:-1}
freeze_ms=6800
revoke_ms=5000
connections=16
work=$(mktemp -d)
record=$here/record.txt
: > "$record"
pids=()

now_ms() { date +%s%3N; }
started=$(now_ms)
note() { echo "$(($(now_ms) - started)) ms  $*" >> "$record"; }
finish() {
  local code=$1
  trap - EXIT
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2> /dev/null; kill -KILL "$pid" 2> /dev/null; done
  wait 2> /dev/null
  rm -rf "$work"
  note "exit $code"
  exit "$code"
}
trap 'finish 2' EXIT
give_up() { note "can't run: $*"; finish 2; }
[ -x "$program" ] && [ -x "$stand_in" ] || give_up "build the deploy file and run review/build.sh first"

# Every VM has a loopback address of its own, so that the ports are the same on all of them.
net=127.$((20 + $$ % 200)).$((20 + $$ / 200 % 200))
controls=("$net.1" "$net.2" "$net.3")
entries=("$net.4" "$net.5" "$net.6")
instance_ip=$net.9
control_port=7500 front_port=7580 ready_port=7600

start_vm() { # NAME IP ROLE
  local listen='"Ready":"'$2:$ready_port'"' extra=
  if [ "$3" = control_plane ]; then
    listen+=',"Control":"'$2:$control_port'"'
    mkdir -p "$work/$1-data"
    extra=',"DataDir":"'$work/$1-data'"'
  else
    listen+=',"Front":"'$2:$front_port'"'
  fi
  cat > "$work/$1.json" <<J
{"Node":"$1","Ip":"$2","Zone":"occ-a","InternalPorts":[7560,7575],"Serves":["$3"],"Listen":{$listen},
"Seeds":["${controls[0]}:$control_port","${controls[1]}:$control_port","${controls[2]}:$control_port"],
"Limits":{"MemoryMb":256},"Bounds":{"GraceS":6,"RevokeMs":$revoke_ms,"StrictRevocation":true},"Bootstrap":true$extra}
J
  GUAVAFRONT_SETTINGS=$work/$1.json "$program" platform > "$work/$1.log" 2>&1 &
  pids+=($!)
}

# Sends one request over a connection of its own and prints the answer; follows one redirect of the control plane.
call() { # IP PORT METHOD TARGET BODY
  local ip=$1 port=$2 method=$3 target=$4 body=$5 answer= round fd
  for round in 1 2; do
    { exec {fd}<> "/dev/tcp/$ip/$port"; } 2> /dev/null || return 1
    printf '%s %s HTTP/1.1\r\nHost: %s:%s\r\nContent-Type: application/json\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s' \
      "$method" "$target" "$ip" "$port" "${#body}" "$body" >&"$fd"
    answer=$(timeout 2 cat <&"$fd" | tr -d '\r')
    exec {fd}>&-
    local next
    next=$(sed -n 's/^Location: http:\/\///p' <<< "$answer" | head -1)
    [ -n "$next" ] || break
    ip=${next%%:*} port=${next#*:} port=${port%%/*}
  done
  printf '%s\n' "$answer"
}

configuration() { # VERSION KEYS
  printf '{"Version":%s,"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"t-1","ApiKeys":[%s],"Priority":0,"RatePerS":500,"Burst":500}],"Listeners":[{"Host":"rutas.example","RuleSet":[{"Name":"r-once","Kind":"non_idempotent","TargetLatencyMs":2000,"Priority":0,"Public":false,"Match":{"PathPrefix":"/once/"},"Action":{"Service":"rutas","TimeoutMs":8000,"MaxAttempts":2}}]}],"Clusters":[{"Name":"rutas","HealthPath":"/healthz","MaxConnections":390,"Protocol":"h1","Tls":false}]}' "$1" "$2"
}

put() { # VERSION KEYS: sends a configuration until a control VM acknowledges it
  local body try ip
  body=$(configuration "$1" "$2")
  for try in $(seq 1 60); do
    ip=${controls[$((try % 3))]}
    if call "$ip" "$control_port" POST "/api/rpc?call=config.put" "$body" | grep -q '^HTTP/1.1 200'; then
      return 0
    fi
    sleep 0.2
  done
  return 1
}

beat() { # SEQUENCE
  local body='{"Service":"rutas","Address":"'$instance_ip:$instance_port'","Zone":"occ-a","Version":"v1","Slots":64,"State":"ready","WarmupLeftMs":0,"Sequence":'$1',"born":1}'
  call "${controls[$(($1 % 3))]}" "$control_port" POST "/api/rpc?call=instances.heartbeat&of=i-1" "$body" > /dev/null
}

send() { # FD ID KEY: sends a request on a kept connection
  printf 'POST /once/%s HTTP/1.1\r\nHost: rutas.example\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: 8000\r\nCredential: %s\r\nContent-Length: 4\r\n\r\nbody' \
    "$2" "$2" "$3" >&"$1"
}

status_of() { # FD SECONDS: reads one answer from a kept connection and prints its status
  local line status=none length=0
  IFS=' ' read -r -t "$2" -u "$1" _ status _ || { echo none; return; }
  while IFS= read -r -t 2 -u "$1" line; do
    line=${line%$'\r'}
    [ -z "$line" ] && break
    case $line in [Cc]ontent-[Ll]ength:*) length=${line#*: } ;; esac
  done
  [ "$length" -gt 0 ] && IFS= read -r -t 2 -N "$length" -u "$1" line
  echo "$status"
}

for n in 0 1 2; do start_vm "control-$((n + 1))" "${controls[n]}" control_plane; done
for n in 0 1 2; do start_vm "entry-$((n + 1))" "${entries[n]}" edge; done
frozen=${pids[3]}
"$stand_in" --name i-1 --address "$instance_ip" --port 0 --port-file "$work/port" --slots 64 --latency-ms 20 \
  --runs-file "$work/runs" > "$work/i-1.log" 2>&1 &
pids+=($!)
put 1 '"key-kept","key-lost"' || give_up "no control VM acknowledged the first configuration"
note "configuration 1 acknowledged; it has key-kept and key-lost"
for n in $(seq 1 50); do [ -s "$work/port" ] && break; sleep 0.1; done
instance_port=$(cat "$work/port") || give_up "the instance doesn't listen"
beat 1
mkfifo "$work/idle"
exec {idle}<> "$work/idle" # Nothing is written to it: a read waits for its time without a process of its own.
(
  n=1
  while true; do
    read -r -t 1.5 -u "$idle" _
    n=$((n + 1))
    beat "$n"
  done
) &
pids+=($!)
disown
for n in $(seq 1 100); do
  ready=0
  for ip in "${entries[@]}"; do
    call "$ip" "$ready_port" GET /api/readyz "" 2> /dev/null | grep -q '^HTTP/1.1 200' && ready=$((ready + 1))
  done
  [ "$ready" = 3 ] && break
  sleep 0.2
done
[ "$ready" = 3 ] || give_up "the entry VMs aren't ready"
sleep 5 # A calm time before the disruption.

fds=()
for n in $(seq 1 "$connections"); do
  { exec {fd}<> "/dev/tcp/${entries[0]}/$front_port"; } 2> /dev/null || give_up "no connection to entry-1"
  fds+=("$fd")
  send "$fd" "early-$n" key-lost
  status=$(status_of "$fd" 8)
  [ "$status" = 200 ] || give_up "request early-$n with the valid key got $status"
done
note "$connections clients sent a request each on a connection that they keep to entry-1: all got 200"

if [ "$trouble" != 0 ]; then
  kill -STOP "$frozen"
  note "entry-1 frozen"
fi
frozen_at=$(now_ms)
put 2 '"key-kept"' || give_up "no control VM acknowledged the second configuration"
acked_at=$(now_ms)
note "configuration 2 acknowledged; key-lost is taken away"
wait_until() { local left=$(($1 - $(now_ms))); [ "$left" -gt 0 ] && sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"; }
wait_until $((acked_at + revoke_ms + 300))
for n in "${!fds[@]}"; do send "${fds[n]}" "late-$((n + 1))" key-lost; done
note "each client sent a request with key-lost on its connection, $(($(now_ms) - acked_at)) ms after the acknowledgement"
wait_until $((frozen_at + freeze_ms))
if [ "$trouble" != 0 ]; then
  kill -CONT "$frozen"
  note "entry-1 thawed, $(($(now_ms) - frozen_at)) ms after its freeze"
fi
for n in "${!fds[@]}"; do note "request late-$((n + 1)) got $(status_of "${fds[n]}" 8)"; done
ran=$(grep -o '"path":"/once/late-[0-9]*"' "$work/runs" | sort -u | wc -l)
note "$ran of $connections requests with the key taken away ran at the instance"
[ "$ran" = 0 ] && finish 0
finish 1
