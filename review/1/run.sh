#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
[ -x ../../target/release/parsleylatch-relay ] || { echo "build the relay first" >&2; exit 2; }
PYTHONDONTWRITEBYTECODE=1 timeout -k 5 110 python3 case.py &
pid=$!
trap 'kill "$pid"' INT TERM
wait "$pid"
code=$?
[ "$code" = 0 ] || [ "$code" = 1 ] || exit 2
if [ "$code" = 1 ] && ! grep -q "broken$" record.txt; then exit 2; fi
exit "$code"
