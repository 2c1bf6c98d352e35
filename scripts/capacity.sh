#!/bin/sh
# Runs the benchmarks named in the table of slopes of docs/CAPACITY.md and prints, for
# each row, the documented figure, the new one and their ratio. Exits with status 1 if a
# benchmark or unit is missing. BENCHTIME is the -benchtime of each benchmark.
#
# Format of a row: | text | figure | unit | package Benchmark |
set -eu
page=docs/CAPACITY.md
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

awk -F'|' '$5 ~ /Benchmark/ {
	split($5, source, " ")
	gsub(/[ ,]/, "", $3); gsub(/ /, "", $4); gsub(/`/, "", source[1]); gsub(/`/, "", source[2])
	print source[1], source[2], $3, $4
}' "$page" >"$work/rows"

for package in $(cut -d' ' -f1 "$work/rows" | sort -u); do
	names=$(awk -v p="$package" '$1 == p { split($2, part, "/"); print part[1] }' "$work/rows" | sort -u | paste -sd'|')
	go test -run '^$' -bench "^($names)\$" -benchmem -benchtime "${BENCHTIME:-0.5s}" "./$package" |
		awk -v p="$package" '/^Benchmark/ { $1 = p " " $1; print }' >>"$work/fresh"
done

awk '
	NR == FNR {
		name = $2; sub(/-[0-9]+$/, "", name)
		for (i = 4; i < NF; i += 2) fresh[$1 " " name " " $(i + 1)] = $i
		next
	}
	FNR == 1 { printf "%-60s %14s %14s %7s  %s\n", "slope", "page", "fresh", "ratio", "unit" }
	{
		key = $1 " " $2 " " $4
		if (!(key in fresh)) { printf "%-60s %14s %14s\n", $1 " " $2, $3, "missing"; bad = 1; next }
		printf "%-60s %14s %14s %7.2f  %s\n", $1 " " $2, $3, fresh[key], ($3 > 0 ? fresh[key] / $3 : 0), $4
	}
	END { exit bad }
' "$work/fresh" "$work/rows"
