#!/bin/bash
# A process is killed and starts again as an evacuated zone is taken back.
# TROUBLE=0 does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec bash "$folder/../stand-ins-2/run-scenario.sh" restart-at-return "$folder"
