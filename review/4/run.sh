#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; the stand-in reads it.
set -u
export TROUBLE=${TROUBLE:-1}
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "$root/target/review/standin" deadly "$root/target/bin/gcw-gateway" \
  "$here/record.txt" "$folder"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
