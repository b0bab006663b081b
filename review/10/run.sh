#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
for program in target/release/linentrail target/review-2/cases; do
    [ -x "$program" ] || { echo "$program is missing: build first" >&2; exit 2; }
done
exec target/review-2/cases pieces "$here"
