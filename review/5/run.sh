#!/usr/bin/env bash
# Plays this case; see claim.txt. TROUBLE=0 leaves out the disruption.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
for program in target/gate target/state review/bin/rig; do
  [ -x "$top/$program" ] || { echo "$program is missing: run the build of the deploy file and review/build.sh"; exit 2; }
done
exec "$top/review/bin/rig" order "$top" "$here/record.txt"
