#!/bin/bash
# Exits with 1 if DRAIN was broken, with 0 if it held, with 2 if the case couldn't run.
# TROUBLE=0 runs it without the disruption. The record is record.txt in this folder.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
root="$(cd "$here/../.." && pwd)" || exit 2
[ -x "$root/target/bramleygw" ] && [ -x "$root/review/platform/bin/standin" ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec "$root/review/platform/bin/standin" -case removal -root "$root" -record "$here/record.txt"
