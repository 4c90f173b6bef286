#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../bin/standin2 ] && [ -x ../../target/skylarkbeam ] || exit 2
exec ../../bin/standin2 readers
