#!/usr/bin/env bash
# Plays CASE of the third review and records it in FOLDER/record.txt: exit 1 if the rule was broken, 0 if
# it held, 2 if the case could not run. All processes of a case are in one process group, which ends here.
set -u
case=$1 folder=$2
longest_s=112
cd "$(dirname "$0")/.." || exit 2
for program in target/review-3/standins-3 target/release/yuccanotch-platform; do
  [ -x "$program" ] || { echo "$program is missing: run review/build-3.sh and the deploy file's build" >&2; exit 2; }
done
end_all() {
  kill -KILL -- "-$group" 2>/dev/null
  kill "$guard" 2>/dev/null
}
setsid target/review-3/standins-3 "$case" "$folder" &
group=$!
sleep "$longest_s" &
guard=$!
trap 'end_all; exit 2' INT TERM
wait -n
if kill -0 "$group" 2>/dev/null; then
  end_all
fi
wait "$group"
status=$?
end_all
[ "$status" -le 2 ] || status=2
exit "$status"
