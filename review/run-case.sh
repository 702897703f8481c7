#!/usr/bin/env bash
# Runs the case $1 with its record in the folder $2. Exits with 1 if the rule was broken, 0 if it held
# and 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
program=target/release/yuccanotch-platform
if [[ ! -x $program || ! -x target/review/standin ]]; then
    echo "build first: the build line of deploy/system.toml, then review/build.sh"
    exit 2
fi
folder=$(mktemp -d)

clean() {
    # Hosts that are left if the stand-in was stopped; a process id may belong to another by now.
    if [[ -f $folder/pids ]]; then
        while read -r pid; do
            [[ $(readlink "/proc/$pid/exe") == "$PWD/$program" ]] && kill -KILL "$pid"
        done < "$folder/pids"
    fi
    rm -rf "$folder"
}
trap clean EXIT
timeout --kill-after=2 112 target/review/standin "$1" "$folder" "$2/record.txt"
code=$?
[[ $code == 0 || $code == 1 ]] || code=2
exit "$code"
