#!/bin/bash
# run-2.sh CASE_FOLDER: plays case.lua of a case; exit code 1: the rule was broken, 0: it held, 2: it could not run.
case=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 2
scratch=$(mktemp -d) || exit 2
touch "$scratch/verdict" "$scratch/pids"
RECORD="$case/record.txt" VERDICT="$scratch/verdict" PIDS="$scratch/pids" \
  timeout 118 build/pwscenario --bin target "$case/case.lua"
# Ends what a script that was cut off has left.
while read -r pid; do
  grep -qaE 'target/peatwelld|build/(fake-target|clients-2)' "/proc/$pid/cmdline" 2>/dev/null && kill -KILL "$pid"
done <"$scratch/pids"
read -r word <"$scratch/verdict"
rm -rf "$scratch"
echo "$(basename "$case"): ${word:-no-run}"
case $word in
broken) exit 1 ;;
held) exit 0 ;;
*) exit 2 ;;
esac
