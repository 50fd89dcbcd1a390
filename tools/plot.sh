#!/usr/bin/env bash
# Plots the percentage of offered requests that were answered whole and within
# the deadline, by scenario and policy, from bench-out/bench_load.txt.
set -eu
in=bench-out/bench_load.txt
[ -f "$in" ] || exit 0
for d in board utility; do
    awk -v d="$d" '$1 == d { a[$2, $3] = $4
        if ($3 == "full") { b[$2] = $5 }
        if (!($2 in seen)) { seen[$2] = 1; order[++n] = $2 } }
        END { for (i = 1; i <= n; i++) { s = order[i]
            print s, a[s, "full"] + 0, a[s, "round_robin"] + 0,
                a[s, "least_in_flight"] + 0, b[s] + 0 } }' "$in" \
        > "bench-out/load-$d.dat"
    gnuplot <<PLOT
set terminal svg size 900,420 noenhanced
set output 'bench-out/load-$d.svg'
set title '$d: answers whole and in deadline over all offered'
set style data histograms
set style fill solid 0.8
set yrange [0:105]
set ylabel 'percent'
set key outside top
set xtics rotate by -30
plot 'bench-out/load-$d.dat' using 2:xtic(1) title 'full', \
    '' using 3 title 'round robin', \
    '' using 4 title 'least in flight', '' using 5 title 'bound'
PLOT
done
