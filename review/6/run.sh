#!/bin/bash
# Hosts are replaced, the store discards its history and a process starts again.
# TROUBLE=0 does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec bash "$folder/../stand-ins-2/run-scenario.sh" drain-before-compaction "$folder"
