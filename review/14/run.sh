#!/bin/sh
# Case 14. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x review/rig3/bin/rig3 ] && [ -x target/state ] && [ -x target/gate ] || exit 2
exec review/rig3/bin/rig3 14 "$here"
