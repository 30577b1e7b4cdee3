#!/bin/bash
# A zone is evacuated and a cold host is added in another one.
# TROUBLE=0 does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec bash "$folder/../stand-ins-2/run-scenario.sh" three-zones-admit "$folder"
