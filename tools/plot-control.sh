#!/bin/sh
# Plots the control traffic figures of a report: plot-control.sh REPORT PNG.
set -eu
data=$(mktemp)
trap 'rm -f "$data"' EXIT
awk '/steady, 1 % loss/ { size = $2; bytes = $9 }
     /a death is known everywhere/ { print size, bytes, $10 }' "$1" > "$data"
gnuplot <<G
set terminal png size 720,420
set output "$2"
set xlabel "entry VMs in the zone"
set ylabel "control bytes per second"
set y2label "seconds until all entry VMs detect a failed one"
set y2tics
set yrange [0:3500]
set y2range [0:10]
plot "$data" using 1:2 with linespoints title "bytes/s", \
  3072 with lines title "target", \
  "$data" using 1:3 axes x1y2 with linespoints title "seconds"
G
