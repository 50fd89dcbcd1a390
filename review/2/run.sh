#!/usr/bin/env bash
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/crash_request ] || exit 2
timeout -k 5 100 target/review/crash_request review/2
rc=$?
[ $rc -eq 0 ] || [ $rc -eq 1 ] || exit 2
exit $rc
