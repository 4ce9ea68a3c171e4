#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
program=../standin/target/release/review-case
if [ ! -x "$program" ] || [ ! -x ../../target/release/oleanderwind-vm ]; then
    echo "build the project as deploy/system.toml says, then run review/build.sh" >&2
    exit 2
fi
exec "$program" late-copy . ../..
