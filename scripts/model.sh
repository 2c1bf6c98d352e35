#!/bin/sh
# Checks the models in spec/ exhaustively within the given bounds, with spin and gcc in a
# temporary directory. Each BREAK_ switch removes one step of a protocol and must yield a
# counterexample; the check fails otherwise.
set -eu
cd "$(dirname "$0")/.."
spec=$PWD/spec
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# search MODEL FLAGS prints the number of states and the number of errors, or
# "incomplete" if the search hit its depth or memory limit.
search() {
	dir=$(mktemp -d "$work/XXXXXX")
	(
		cd "$dir"
		# shellcheck disable=SC2086
		spin -a $2 "$spec/$1.pml" >spin.log
		gcc -O1 -DSAFETY -DCOLLAPSE -DMEMLIM=2000 -w -o pan pan.c
		./pan -E -m1000000 >pan.log || true
		awk '/errors:/ { errors = $NF } /states, stored/ { states = $1 } /max search depth|out of memory/ { cut = 1 }
			END { print states + 0, (cut || errors == "" ? "incomplete" : errors) }' pan.log
	)
}

# holds MODEL FLAGS fails the check unless a complete search finds no counterexample.
holds() {
	set -- "$1" "$2" $(search "$1" "$2")
	if [ "$4" = 0 ]; then
		echo "$1 $2: holds, $3 states"
	else
		echo "$1 $2: FAILED, errors: $4, $3 states"
		failed=1
	fi
}

# breaks MODEL FLAGS fails the check unless a counterexample is found.
breaks() {
	set -- "$1" "$2" $(search "$1" "$2")
	if [ "$4" = 1 ]; then
		echo "$1 $2: counterexample found, $3 states"
	else
		echo "$1 $2: FAILED, no counterexample in $3 states"
		failed=1
	fi
}

check_large() {
	holds ledger '-DRECEIPTS=3 -DTRIES=1'
	holds ledger '-DRECEIPTS=2 -DTRIES=2 -DSWEEP -DSTALE'
	holds ledger '-DRECEIPTS=2 -DTRIES=2 -DLATE -DSTALE'
	holds revisions '-DOPERATORS=2 -DTRIES=3'
	return $failed
}

check_switches() {
	breaks ledger '-DRECEIPTS=2 -DBREAK_CONDITION'
	breaks ledger '-DRECEIPTS=2 -DBREAK_READBACK -DLATE'
	breaks ledger '-DRECEIPTS=2 -DBREAK_TAKEOVER'
	breaks ledger '-DRECEIPTS=2 -DBREAK_HORIZON -DSWEEP'
	breaks ledger '-DRECEIPTS=2 -DBREAK_ABANDON'
	breaks ledger '-DRECEIPTS=2 -DBREAK_RESEND'
	breaks revisions '-DOPERATORS=2 -DBREAK_CONDITION'
	breaks revisions '-DOPERATORS=2 -DBREAK_READBACK'
	breaks revisions '-DOPERATORS=2 -DBREAK_REBASE'
	breaks revisions '-DOPERATORS=2 -DBREAK_ORDER'
	return $failed
}

check_large &
large=$!
check_switches || failed=1
wait $large || failed=1
exit $failed
