# Sourced by the scripts of review/6 to review/10: starts control and entry VMs by the deploy file's program on loopback
# addresses of their own, plays the platform's operator, and sends the heartbeats of instances.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
program=$root/target/src/guavafront # "run" of deploy/system.toml, in the repository's root
stand_in=$root/build-review-2/tests/stand_in/stand_in_upstream
quota=$root/build-review-2/quota
[ -x "$program" ] && [ -x "$stand_in" ] && [ -x "$quota" ] || { echo "not built: run review/build-2.sh"; exit 2; }
work=$(mktemp -d) || exit 2
# in_use PORT: whether something on this machine answers there, by the address of the first VM.
in_use() { (exec 3<> "/dev/tcp/$net.1/$1") 2> /dev/null; }
while :; do
  net=127.$((RANDOM % 200 + 20)).$((RANDOM % 200 + 20))
  control_port=$((RANDOM % 2000 + 21000))
  in_use $control_port || in_use $((control_port + 1)) || in_use $((control_port + 2)) || in_use $((control_port + 3)) || break
done
front_port=$((control_port + 1))
ready_port=$((control_port + 2))
peer_port=$((control_port + 3))
began=$(date +%s%N)
declare -A pid_of
helpers=()

say() { printf '%8.3f %s\n' "$(( ($(date +%s%N) - began) / 1000000 ))e-3" "$*" >> "$record"; }
now_ms() { echo $(( ($(date +%s%N) - began) / 1000000 )); }

finish() { # Ends all that was started, by its process id.
  local each
  trap - EXIT INT TERM
  declare -F before_finish > /dev/null && before_finish
  for each in "${helpers[@]}"; do kill "$each" 2> /dev/null; done
  for each in "${pid_of[@]}"; do kill -CONT "$each" 2> /dev/null; kill -KILL "$each" 2> /dev/null; done
  wait 2> /dev/null
  [ -n "${KEEP:-}" ] && echo "kept: $work" || rm -rf "$work"
}
cannot() { say "could not run: $*"; echo "could not run: $*"; finish; exit 2; }
trap finish EXIT
trap 'cannot ended by a signal' INT TERM

seeds() { printf '"%s.%s:%s","%s.%s:%s","%s.%s:%s"' "$net" 1 $control_port "$net" 2 $control_port "$net" 3 $control_port; }

# start_vm NAME HOST control|entry BOOTSTRAP
start_vm() {
  local serves listen data=""
  if [ "$3" = control ]; then
    serves=control_plane listen="\"Control\":\"$net.$2:$control_port\",\"Ready\":\"$net.$2:$ready_port\""
    mkdir -p "$work/data-$1"; data="\"DataDir\":\"$work/data-$1\",\"CountsAsLoss\":true,"
  else
    serves=edge listen="\"Front\":\"$net.$2:$front_port\",\"Ready\":\"$net.$2:$ready_port\""
  fi
  cat > "$work/$1.json" <<S
{"Node":"$1","Role":"$3","MachineClass":"$3","Serves":["$serves"],"Ip":"$net.$2","Zone":"occ-a","Region":"mx-occidente",
"InternalPorts":[$peer_port,$((peer_port + 15))],"Seeds":[$(seeds)],"Bootstrap":$4,$data"Discovery":"registration",
"Entry":"virtual_ip","HeartbeatMs":1500,"Contracts":["base","drain","config","cost","retry","recover","health","tenants","quota"],
"ConfigMode":"highest","Zones":{"occ-a":"mx-occidente"},"Listen":{$listen},
"Limits":{"CpuShare":0.2,"CpuSpeedFactor":1,"MemoryMb":260,"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":256},
"FaultTolerance":{"Machines":1,"Zones":0,"Regions":0},
"Bounds":{"SeedLagS":3,"ReuseAfterS":2,"SettleWindowMs":3000,"AckMs":4000,"CatchUpS":4,"DrainMs":2000,"GraceS":6,
"LossSlackMs":200,"ConfigApplyMs":2000,"RollbackSlackMs":250,"MaxStretchMs":5000,"StrictRevocation":true,"RevokeMs":5000,
"RetryBudgetRatio":0.2,"BudgetWindowS":10,"BudgetSlack":62,"QuotaWindowS":5,"QuotaOvershoot":0.1,"QuotaSlack":20,
"RecoverS":15,"ProbesPerS":3,"FloorShare":0.7}}
S
  (cd "$root" && GUAVAFRONT_SETTINGS="$work/$1.json" MALLOC_ARENA_MAX=1 exec "$program" platform) >> "$work/$1.log" 2>&1 &
  pid_of[$1]=$!
}

# start_instance ID HOST SERVICE [OPTION...]: a stand-in, and its heartbeats to any control VM until it ends.
start_instance() {
  local id=$1 host=$2 service=$3 port=""
  shift 3
  (cd "$work" && exec "$stand_in" --name "$id" --address "$net.$host" --port-file "$work/$id.port" "$@") \
    > "$work/$id.log" 2>&1 &
  pid_of[$id]=$!
  for _ in $(seq 100); do [ -s "$work/$id.port" ] && break; sleep 0.05; done
  port=$(cat "$work/$id.port") || cannot "the stand-in $id doesn't listen"
  (
    sequence=0 born=$(date +%s%3N)
    while :; do
      sequence=$((sequence + 1))
      for control in $(shuf -i "1-$controls"); do
        beat="{\"Service\":\"$service\",\"Address\":\"$net.$host:$port\",\"Zone\":\"occ-a\",\"Version\":\"v1\",\"Slots\":4"
        beat="$beat,\"State\":\"ready\",\"WarmupLeftMs\":0,\"Sequence\":$sequence,\"born\":$born}"
        code=$(curl -s -m 1 -o /dev/null -w '%{http_code}' -H 'Content-Type: application/json' -d "$beat" \
          "http://$net.$control:$control_port/api/rpc?call=instances.heartbeat&of=$id")
        [ "${code:0:1}" = 2 ] && break
      done
      sleep 1.5
    done
  ) &
  helpers+=($!)
}

# put FILE: sends a configuration as the operator does, unchanged, to one control VM after the other, until one answers
# with 200 or 400. Returns whether it was acknowledged; put_code has the last status. put_limit is the time in ms after
# which it gives up.
put_limit=${put_limit:-20000}
put_at=1 put_code=000
put() {
  local until=$(( $(now_ms) + put_limit )) answer host
  put_code=000
  while [ "$(now_ms)" -lt "$until" ]; do
    answer=$(curl -s -m "${put_patience:-1}" -o /dev/null -w '%{http_code} %{url_effective}' -L --max-redirs 2 \
      -H 'Content-Type: application/json' -H 'Expect:' --data-binary "@$1" \
      "http://$net.$put_at:$control_port/api/rpc?call=config.put")
    put_code=${answer%% *}
    case $put_code in
      200) host=${answer#*//$net.} put_at=${host%%:*} && return 0 ;; # The next order goes to the VM that answered.
      400 | 409 | 412 | 413 | 422) return 1 ;;
    esac
    put_at=$((put_at % controls + 1))
    sleep 0.1
  done
  return 1
}

# version_at HOST: the version that a control VM gives when it is asked for the configuration; nothing without an answer.
version_at() {
  curl -s -m 1 -L --max-redirs 2 -d '{}' "http://$net.$1:$control_port/api/rpc?call=config.get" \
    | grep -o '^{"Version":[0-9]*' | grep -o '[0-9]*$'
}

# is_ready HOST: whether an entry VM says so.
is_ready() { [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$net.$1:$ready_port/api/readyz")" = 200 ]; }

# configuration VERSION ROUTES
configuration() {
  awk -v version="$1" -v routes="$2" 'BEGIN {
    srand(7)
    printf "{\"Version\":%d,\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,", version
    printf "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"yefi830\",\"ApiKeys\":[\"xd9dnn2ctnfzs989anu6\"],"
    printf "\"Priority\":0,\"RatePerS\":100,\"Burst\":100}],\"Listeners\":[{\"Host\":\"jepu9.example\",\"RuleSet\":["
    for (i = 0; i <= routes; ++i) {
      name = ""; for (k = 0; k < 7; ++k) name = name sprintf("%c", 97 + int(rand() * 26))
      path = i == 0 ? "/reservas/" : "/" substr(name, 1, 4) i "/" substr(name, 3) "/"
      printf "%s{\"Name\":\"r-%s%d\",\"Kind\":\"non_idempotent\",\"TargetLatencyMs\":1200,\"Priority\":1,", i ? "," : "", name, i
      printf "\"Public\":false,\"Match\":{\"PathPrefix\":\"%s\"},", path
      printf "\"Action\":{\"Service\":\"reservas\",\"TimeoutMs\":%d,\"MaxAttempts\":2}}", 4000 + version % 10
    }
    printf "]}],\"Clusters\":[{\"Name\":\"reservas\",\"HealthPath\":\"/healthz\",\"MaxConnections\":390,\"Protocol\":\"h1\","
    printf "\"Tls\":false}]}"
  }'
}

# client HOST FIRST_HOST_NUMBER: a request each 100 ms to one entry VM; a line for each in its file: time sent, status.
client() {
  local number=0 sent code
  while :; do
    number=$((number + 1)) sent=$(now_ms)
    code=$(curl -s -m 4 -o /dev/null -w '%{http_code}' -X POST -d 'a booking' -H 'Host: jepu9.example' -H 'Expect:' \
      -H "Request-Id: $1-$number" -H 'Request-Deadline-Ms: 4000' -H 'Credential: xd9dnn2ctnfzs989anu6' \
      "http://$net.$1:$front_port/reservas/$number")
    echo "$sent $code" >> "$work/client-$1"
    sleep 0.1
  done
}

# served FROM TO: prints the served requests and all that were sent in this time.
served() { cat "$work"/client-* | awk -v from="$1" -v to="$2" '$1 >= from && $1 < to { ++all; good += $2 == 200 } END { print good + 0, all + 0 }'; }

# hold SHARE: each control VM gets this share of a core, as on the platform, until the next call or release.
quota_pid=""
release() {
  [ -n "$quota_pid" ] && kill "$quota_pid" && wait "$quota_pid"
  quota_pid=""
} 2> /dev/null
hold() {
  local ids=() each
  release
  for each in $(seq "$controls"); do ids+=("${pid_of[control-$each]}"); done
  "$quota" "$1" "${ids[@]}" &
  quota_pid=$!
  helpers+=("$quota_pid")
}

# kill_vm NAME: kills a process, as the platform does.
kill_vm() {
  kill -KILL "${pid_of[$1]}"
  wait "${pid_of[$1]}" 2> /dev/null
  unset "pid_of[$1]"
}

# change VERSION: makes $work/changed from $work/configuration, under another version and with another TimeoutMs.
change() {
  sed "s/^{\"Version\":[0-9]*/{\"Version\":$1/; s/\"TimeoutMs\":40../\"TimeoutMs\":$((4010 + $1 % 80))/" \
    "$work/configuration" > "$work/changed"
}

# grow ROUTES...: grows the configuration to each of these numbers of routes, one version after the other.
grow() {
  local grown
  for grown in "$@"; do
    version=$((version + 1))
    configuration "$version" "$grown" > "$work/configuration"
    put "$work/configuration" || cannot "version $version has no acknowledgement"
  done
  say "the configuration has $grown more routes, $(stat -c %s "$work/configuration") bytes"
}

# make_changes COUNT LIMIT_MS: makes so many changes, or as many as fit into the time.
make_changes() {
  local until=$(( $(now_ms) + $2 )) made=0
  while [ "$made" -lt "$1" ] && [ "$(now_ms)" -lt "$until" ]; do
    version=$((version + 1)) made=$((made + 1))
    change "$version"
    put "$work/changed" || cannot "version $version has no acknowledgement"
  done
  say "$made changes are acknowledged, the last one as version $version"
}
