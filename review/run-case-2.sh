#!/usr/bin/env bash
# Runs a case of the second review in a temporary folder: run-case-2.sh CASE FOLDER. The record goes
# to FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 the disruption is left out.
set -u
case=$1
here=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
program=target/review-2/release/review-standin-2
for needed in "$program" target/release/rhubarbcove; do
  [ -x "$needed" ] || { echo "$needed is not built: the build of the deploy file, then review/build-2.sh"; exit 2; }
done
folder=$(mktemp -d) || exit 2

# Ends the processes of this run that are left, and only these: their command names its folder.
clean_up() {
  while read -r id; do
    if tr '\0' ' ' 2>/dev/null <"/proc/$id/cmdline" | grep -qF "$folder"; then
      kill -KILL "$id" 2>/dev/null
    fi
  done 2>/dev/null <"$folder/processes"
  rm -rf "$folder"
}
trap clean_up EXIT
trap 'exit 2' INT TERM

timeout -k 3 115 "$program" "$case" "$folder" "$here/record.txt"
status=$?
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
