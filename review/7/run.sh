#!/bin/bash
# A killed process starts again, and its machine is suspended before it is ready.
# TROUBLE=0 does the same without the suspension.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec bash "$folder/../stand-ins-2/run-scenario.sh" suspend-at-start "$folder"
