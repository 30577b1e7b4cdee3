#!/bin/bash
# A route moves to another service while hosts are full for a moment.
# TROUBLE=0 does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec bash "$folder/../stand-ins-2/run-scenario.sh" copy-after-change "$folder"
