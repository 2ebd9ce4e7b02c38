#!/bin/sh
# Runs the case in the folder given and writes its record.txt. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case could not run.
folder=$(basename "$1")
cd "$(dirname "$0")/.." || exit 2
program=target/review/case$folder
if [ ! -x "$program" ] || [ ! -x target/platform/rhubarblane_node ]; then
    echo "not built: run the build of the deploy file and review/build.sh" >&2
    exit 2
fi
exec "$program" "review/$folder"
