# Plots the share of requests served, by the second in which they began, and the faults: gnuplot -e "folder='DIR'" test/soak/served.gp
set terminal pngcairo size 900,420 noenhanced font "sans,9"
set output folder."/served.png"
set xlabel "seconds since the start of the traffic"
set ylabel "share of requests served, by start time"
set yrange [0:1.35]
set key left bottom
plot folder."/served.tsv" using 1:($3/$2) with steps title "served", \
     folder."/faults.tsv" using 1:(1.02) with points pointtype 11 title "fault", \
     folder."/faults.tsv" using 1:(1.04):2 with labels left rotate by 60 notitle
