#!/bin/bash
# CONFIG: four control VMs lose their disks one after the other, each once the one before it has been back for CatchUpS.
# The configuration can't be read or changed any more. TROUBLE=0: the same four machines are killed and keep their disks.
cd "$(dirname "$0")" || exit 2
record=$PWD/record.txt
: > "$record"
controls=5
. ../fleet-2.sh

changes=600    # "hundreds of changes"
share=0.15     # of a core, for each control VM: [machines] of the site
down_s=3       # after_ack_wipe: for_s = 3.0
catch_up_ms=4000 # CatchUpS
spare_ms=500   # beyond CatchUpS
recover_s=15   # RecoverS

for each in 1 2 3 4 5; do start_vm "control-$each" "$each" control true; done
configuration 1 0 > "$work/configuration"
put "$work/configuration" || cannot "the first configuration has no acknowledgement"
say "started: $controls control VMs"
sleep 2
version=1
grow 350 700 1050 1400 1750
make_changes "$changes" 40000
hold "$share"
sleep 4
put_patience=3
version=$((version + 1))
change "$version"
put "$work/changed" || cannot "the last version has no acknowledgement"
say "version $version is acknowledged"
for each in 1 2 3 4; do
  [ "$each" = 1 ] || say "control-$each is hit $(( $(now_ms) - back )) ms after the one before was back"
  release
  kill_vm "control-$each"
  [ "${TROUBLE:-1}" != 0 ] && rm -rf "$work/data-control-$each"
  running=()
  for other in $(seq "$controls"); do [ "$other" != "$each" ] && running+=("${pid_of[control-$other]}"); done
  "$quota" "$share" "${running[@]}" &
  quota_pid=$!
  helpers+=("$quota_pid")
  sleep "$down_s"
  release
  start_vm "control-$each" "$each" control false
  hold "$share"
  back=$(now_ms)
  say "control-$each is back"
  while [ "$(now_ms)" -lt $((back + catch_up_ms + spare_ms)) ]; do sleep 0.05; done
done
read_at=""
until=$((back + catch_up_ms + recover_s * 1000))
[ "$until" -lt 112000 ] && until=112000 # To the end of the time that a script has.
while [ "$(now_ms)" -lt "$until" ]; do
  for each in $(seq "$controls"); do
    [ "$(version_at "$each")" = "$version" ] && read_at=$(now_ms) && break 2
  done
  sleep 0.3
done
grep -h 'no leader for\|waits for a place\|is a learner' "$work"/control-*.log | tail -n 8 | cut -c 1-330 >> "$record"
if [ -z "$read_at" ]; then
  say "CONFIG is broken: acknowledged version $version isn't read back from any control VM until $(( (until - back) / 1000 )) s after the last one was back"
  finish
  exit 1
fi
say "version $version is read back; CONFIG holds"
finish
exit 0
