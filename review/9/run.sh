#!/usr/bin/env bash
# Plays case 9: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
# A VM has 4,100 descriptors, as on its machine.
ulimit -n 4100 || exit 2
exec target/review-2/release/review-standin-2 refusal review/9
