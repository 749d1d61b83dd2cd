#!/bin/sh
# Exit: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/release/topazpath ] || exit 2
command -v python3 >/dev/null || exit 2
timeout -k 2 115 python3 case.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
