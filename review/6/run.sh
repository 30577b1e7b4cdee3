#!/bin/bash
# Hosts are replaced, a machine is restarted and the store discards its history.
# TROUBLE=0 does the same, and the store keeps its history.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec bash "$folder/../stand-ins-2/run-scenario.sh" drain-before-compaction "$folder"
