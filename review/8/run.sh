#!/bin/bash
# RECOVER: all processes are killed after a day with many changes of a configuration of 1,750 routes, and the service
# stays down for longer than RecoverS. TROUBLE=0: the same without the kill.
cd "$(dirname "$0")" || exit 2
record=$PWD/record.txt
: > "$record"
controls=5
. ../fleet-2.sh

changes=600  # "hundreds of changes"
share=0.15   # of a core, for each control VM: [machines] of the site
recover_s=15 # RecoverS

start_all() {
  for each in 1 2 3 4 5; do start_vm "control-$each" "$each" control "$1"; done
  for each in 11 12; do start_vm "entry-$each" "$each" entry "$1"; done
}

start_all true
configuration 1 0 > "$work/configuration"
put "$work/configuration" || cannot "the first configuration has no acknowledgement"
for each in a b c; do start_instance "i-$each" $((0x$each + 20)) reservas --latency-ms 100 --slots 4; done
for _ in $(seq 100); do is_ready 11 && is_ready 12 && break; sleep 0.1; done
for each in 11 12; do client "$each" & helpers+=($!); done
say "started: $controls control VMs, 2 entry VMs, 3 instances"
version=1
grow 350 700 1050 1400 1750
make_changes "$changes" 45000
hold "$share"
sleep 4
if [ "${TROUBLE:-1}" != 0 ]; then
  before=$(served $(( $(now_ms) - 3000 )) "$(now_ms)")
  version=$((version + 1))
  change "$version"
  put_patience=3
  put "$work/changed" || cannot "the last version has no acknowledgement"
  release
  for each in control-1 control-2 control-3 control-4 control-5 entry-11 entry-12; do kill -KILL "${pid_of[$each]}"; done
  say "all processes are killed after version $version was acknowledged"
  for each in control-1 control-2 control-3 control-4 control-5 entry-11 entry-12; do kill_vm "$each"; done
  sleep 0.5
  start_all false
  hold "$share"
  say "all processes are started again"
else
  before=$(served $(( $(now_ms) - 3000 )) "$(now_ms)")
fi
back=$(now_ms)
read_after=""
while [ "$(now_ms)" -lt $((back + (recover_s + 14) * 1000)) ]; do
  if [ -z "$read_after" ] && [ "$(version_at $((RANDOM % controls + 1)))" = "$version" ]; then
    read_after=$(( $(now_ms) - back ))
    say "the configuration is read back as version $version, $read_after ms after the start"
  fi
  sleep 0.5
done
after=$(served $((back + recover_s * 1000)) $((back + (recover_s + 10) * 1000)))
for second in $(seq 0 24); do
  say "second $second after the start: served and sent $(served $((back + second * 1000)) $((back + second * 1000 + 1000)))"
done
grep -h 'ran [0-9]* ms late' "$work"/control-*.log | tail -n 5 | cut -c 1-160 >> "$record"
say "before: served and sent $before; from $recover_s s to $((recover_s + 10)) s after: $after"
read -r good all <<< "$before"
[ "$all" -gt 0 ] && [ $((good * 4)) -ge "$all" ] || cannot "less than a quarter was served before"
read -r good all <<< "$after"
[ "$all" -gt 0 ] || cannot "no request was sent afterwards"
if [ $((good * 4)) -lt "$all" ]; then say "RECOVER is broken"; finish; exit 1; fi
say "RECOVER holds"
finish
exit 0
