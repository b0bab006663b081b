#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
case=target/review/case-$(basename "$here")
[ -x "$case" ] && [ -x target/release/linentrail ] || { echo "build first: cargo build --release --locked, review/build.sh"; exit 2; }
exec "$case" "$here/record.txt"
