#!/bin/bash
# Acks: a valid configuration of 8,400 routes is refused with 400. TROUBLE=0: as many versions without the routes.
cd "$(dirname "$0")" || exit 2
record=$PWD/record.txt
: > "$record"
controls=5
. ../fleet-2.sh

growth=1400 # big_config: count = 1400
[ "${TROUBLE:-1}" = 0 ] && growth=0
for each in $(seq "$controls"); do start_vm "control-$each" "$each" control true; done
configuration 1 0 > "$work/configuration"
put "$work/configuration" || cannot "the first configuration has no acknowledgement"
version=1 refused=""
put_patience=5
for times in 1 2 3 4 5 6; do
  version=$((version + 1))
  configuration "$version" $((times * growth)) > "$work/configuration"
  put "$work/configuration" || refused=$version
  say "version $version, $((times * growth)) more routes, $(stat -c %s "$work/configuration") bytes: status $put_code"
  if [ -n "$refused" ]; then
    curl -s -m 5 -L --max-redirs 2 -H 'Expect:' --data-binary "@$work/configuration" \
      "http://$net.$put_at:$control_port/api/rpc?call=config.put" >> "$record"
    echo >> "$record"
    break
  fi
done
if [ -n "$refused" ]; then
  # The keys of a tenant are taken away, and nothing else changes.
  version=$((version + 1))
  sed "s/^{\"Version\":[0-9]*/{\"Version\":$version/; s/\"ApiKeys\":\[[^]]*\]/\"ApiKeys\":[]/" "$work/configuration" > "$work/revoked"
  put "$work/revoked"
  say "version $version, which takes a key away: status $put_code"
  say "Acks is broken: a valid configuration is refused for good"
  finish
  exit 1
fi
say "all versions are acknowledged"
finish
exit 0
