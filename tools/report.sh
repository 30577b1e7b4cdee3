#!/bin/sh
# Compares the steering with the baselines, measures control traffic and runs
# every lab event: report.sh BUILD [FLOWS] [SEED]. Writes
# docs/measurements/report.md and a plot.
set -eu
build="$1"
flows="${2:-20000}"
seed="${3:-1}"
out=docs/measurements
mkdir -p "$out"
{
  echo "# Report"
  echo
  echo "Written by \`make report\` ($(date -u +%Y-%m-%d)); $flows flows, seed $seed."
  echo
  echo "## Steering against the baselines"
  echo
  echo "\`build/tarragonsill-compare --seed $seed\`. Cores on a virtual clock; a flow"
  echo "is broken if a packet of it reaches another upstream or none."
  echo
  "$build/tarragonsill-compare" --seed "$seed"
  echo
  echo "## Control traffic by the size of a zone"
  echo
  echo "\`build/tarragonsill-counted control --cores N\`, 1 % loss."
  echo
  echo '```'
  for cores in 7 20 50; do
    "$build/tarragonsill-counted" control --cores "$cores" || true
  done
  echo '```'
  echo
  echo "![Control bytes and detection time by the size of a zone](control.png)"
  echo
  echo "## Lab runs"
  echo
  echo "\`tools/events.py build --flows $flows --rate 100 --seeds $seed\`: six entry VMs as"
  echo "processes, counted by the stand-ins."
  echo
  tools/events.py "$build" --flows "$flows" --rate 100 --seeds "$seed" \
    --jobs 3 --markdown || true
} > "$out/report.md.new"
mv "$out/report.md.new" "$out/report.md"
tools/plot-control.sh "$out/report.md" "$out/control.png"
echo "wrote $out/report.md"
