#!/usr/bin/env bash
# Three real control processes on loopback: changes, races, resends, killed leaders, damaged and lost data folders.
# control_group_test.sh FOLDER_OF_THE_PROGRAMS
set -euo pipefail

bin=$1
work=$(mktemp -d)
hosts=(a1 b1 c1)
declare -A pid mesh_port operator_port

finish() {
    local status=$?
    for host in "${!pid[@]}"; do
        kill -9 "${pid[$host]}" 2>/dev/null || true
    done
    if [ "$status" -ne 0 ]; then
        tail -n 20 "$work"/*.log || true
    fi
    rm -rf "$work"
}
trap finish EXIT

fail() {
    echo "FAILED: $*" >&2
    exit 1
}

# Sets the variable named first to a free port.
free_port() {
    local candidate
    while true; do
        candidate=$((20000 + RANDOM % 12000))
        if [[ " ${used_ports:-} " != *" $candidate "* ]] && ! (exec 3<>"/dev/tcp/127.0.0.1/$candidate") 2>/dev/null; then
            used_ports="${used_ports:-} $candidate"
            printf -v "$1" '%s' "$candidate"
            return
        fi
    done
}

# Tries a command until it succeeds: wait_for WHAT COMMAND...
wait_for() {
    local what=$1
    shift
    for _ in $(seq 300); do
        if "$@" >/dev/null 2>&1; then
            return
        fi
        sleep 0.1
    done
    fail "waited in vain: $what"
}

write_settings() {
    local members="" host port
    for host in "${hosts[@]}"; do
        free_port port
        mesh_port[$host]=$port
        free_port port
        operator_port[$host]=$port
        members+="\"$host=127.0.0.1:${mesh_port[$host]},127.0.0.1:${operator_port[$host]}\", "
    done
    echo "ana 0123456789abcdef" >"$work/tokens"
    echo "0123456789abcdef" >"$work/token"
    local control=""
    for host in "${hosts[@]}"; do
        printf 'host = "%s"\ndata_folder = "%s"\nmembers = [%s]\noperators.tokens_file = "%s"\nraft.compact_after_entries = 20\n' \
            "$host" "$work/data-$host" "$members" "$work/tokens" >"$work/$host.toml"
        printf 'control = ["127.0.0.1:%s"]\ntimeout_ms = 1000\n' "${operator_port[$host]}" >"$work/ctl-$host.toml"
        control+="\"127.0.0.1:${operator_port[$host]}\", "
    done
    printf 'control = [%s]\ntoken_file = "%s"\ntimeout_ms = 30000\n' "$control" "$work/token" >"$work/ctl.toml"
}

start() {
    "$bin/jackdaw-control" --settings "$work/$1.toml" >>"$work/$1.log" 2>&1 &
    pid[$1]=$!
}

kill_hard() {
    kill -9 "${pid[$1]}"
    wait "${pid[$1]}" 2>/dev/null || true
    unset "pid[$1]"
}

ctl() { "$bin/jackdawctl" --settings "$work/ctl.toml" "$@"; }
status_of() { "$bin/jackdawctl" --settings "$work/ctl-$1.toml" status; }
leader_now() { ctl members | awk '/ leader$/ { print $1 }'; }
has_leader() { [ -n "$(leader_now)" ]; }
voters() { ctl members | grep -c ' voter'; }
has_voters() { [ "$(voters)" = "$1" ]; }

# The present incarnation of a host votes; until then its lost one still counts as a voter.
is_voter() {
    local incarnation
    incarnation=$(status_of "$1" | sed -n 's/^incarnation: //p')
    ctl members | grep -q "^$1 .* $incarnation voter"
}

has_version() { status_of "$1" | grep -qx "version: $2"; }

# The host asked first may have restarted just now and know of no leader yet.
leader() {
    local found=""
    for _ in $(seq 300); do
        found=$(leader_now)
        if [ -n "$found" ]; then
            break
        fi
        sleep 0.1
    done
    echo "$found"
}

a_follower() {
    local leading host
    leading=$(leader)
    for host in "${hosts[@]}"; do
        if [ "$host" != "$leading" ]; then
            echo "$host"
            return
        fi
    done
}

# Makes change number $1 over version $2.
apply() {
    echo "retry.budget = 0.$((1000 + $1)) # asked for by Ana Kos" >"$work/rules-$1.toml"
    ctl rules apply "$work/rules-$1.toml" --expect "$2" --change "change-$1"
}

everyone_has_version() {
    local host
    for host in "${hosts[@]}"; do
        wait_for "$host has version $1" has_version "$host" "$1"
    done
}

# Starts a host that must refuse, with the words on its standard error.
expect_refusal() {
    local host=$1 words=$2 output status=0
    output=$("$bin/jackdaw-control" --settings "$work/$host.toml" 2>&1) || status=$?
    [ "$status" -eq 1 ] || fail "$host ended with $status, not 1: $output"
    grep -q "$words" <<<"$output" || fail "$host did not say '$words': $output"
}

last_segment() { find "$work/data-$1/journal" -name '*.log' | sort | tail -1; }

write_settings
for host in "${hosts[@]}"; do
    "$bin/jackdaw-control" --settings "$work/$host.toml" --check-settings >/dev/null
done

echo "== an empty data folder is refused; a group is founded and takes members in"
expect_refusal a1 "no data folder"
"$bin/jackdaw-control" --settings "$work/a1.toml" --found >/dev/null
for host in b1 c1; do
    "$bin/jackdaw-control" --settings "$work/$host.toml" --join >/dev/null
done
for host in "${hosts[@]}"; do start "$host"; done
wait_for "three voters" has_voters 3

echo "== changes, resends and races"
apply 1 0 | grep -q "version 1, change change-1, operator ana"
apply 2 1 >/dev/null
apply 1 0 | grep -q "version 1, change change-1, operator ana" || fail "a resent change got another answer"
ctl rules trace retry.budget | grep -q "asked for by Ana Kos"
ctl rules show 2>/dev/null | grep -q "retry.budget = 0.1002"
status_3=0 status_4=0
apply 3 2 >"$work/race-3" 2>&1 & race_3=$!
apply 4 2 >"$work/race-4" 2>&1 & race_4=$!
wait "$race_3" || status_3=$?
wait "$race_4" || status_4=$?
[ $((status_3 + status_4)) -eq 3 ] || fail "a race ended with $status_3 and $status_4"
winner=$([ "$status_3" -eq 0 ] && echo 3 || echo 4)
cat "$work/race-3" "$work/race-4" | grep -q "in force: version 3, change change-$winner, operator ana" || fail "the conflict does not name the winner"
everyone_has_version 3

echo "== a killed leader: the next change is accepted, and nothing reverts"
version=3
for round in 5 6 7; do
    old=$(leader)
    kill_hard "$old"
    apply "$round" "$version" >/dev/null
    version=$((version + 1))
    start "$old"
    everyone_has_version "$version"
done

echo "== changes beyond compaction; all killed at once"
for round in $(seq 10 50); do
    apply "$round" "$version" >/dev/null
    version=$((version + 1))
done
for host in "${hosts[@]}"; do kill_hard "$host"; done
for host in "${hosts[@]}"; do start "$host"; done
everyone_has_version "$version"
wait_for "a leader" has_leader
apply 50 "$((version - 1))" | grep -q "version $version, change change-50" || fail "a resent change was forgotten"

echo "== a torn append is cut off"
host=$(a_follower)
kill_hard "$host"
head -c 9 /dev/urandom >>"$(last_segment "$host")"
start "$host"
wait_for "$host has version $version" has_version "$host" "$version"
[ ! -e "$work/data-$host".set-aside-* ] || fail "a torn append cost the member its incarnation"

echo "== lost acknowledged records: the member returns as a new incarnation"
apply 60 "$version" >/dev/null
version=$((version + 1))
everyone_has_version "$version"
kill_hard "$host"
truncate -s -9 "$(last_segment "$host")"
start "$host"
wait_for "$host has version $version" has_version "$host" "$version"
wait_for "$host votes" is_voter "$host"
has_voters 3 || fail "the lost incarnation still votes"
ls -d "$work/data-$host".set-aside-* >/dev/null

echo "== a damaged journal and a foreign data folder are refused"
host=$(a_follower)
apply 61 "$version" >/dev/null
version=$((version + 1))
kill_hard "$host"
segment=$(last_segment "$host")
cp "$segment" "$work/segment"
printf '\xff' | dd of="$segment" bs=1 seek=$(($(stat -c %s "$segment") / 2)) conv=notrunc status=none
expect_refusal "$host" "$segment: offset"
cp "$work/segment" "$segment"
other=$([ "$host" = a1 ] && echo b1 || echo a1)
sed -i "s|data-$other|data-$host|" "$work/$other.toml"
expect_refusal "$other" "belongs to host '$host'"
sed -i "s|data-$host|data-$other|" "$work/$other.toml"
start "$host"
wait_for "$host has version $version" has_version "$host" "$version"
expect_refusal "$host" "in use by another process"

echo "== a lost disk is replaced, and a second host is lost right after"
kill_hard "$host"
rm -r "$work/data-$host"
expect_refusal "$host" "no data folder"
"$bin/jackdaw-control" --settings "$work/$host.toml" --join >/dev/null
start "$host"
wait_for "$host has version $version" has_version "$host" "$version"
wait_for "$host votes" is_voter "$host"
has_voters 3 || fail "the lost incarnation still votes"
kill_hard "$other"
apply 70 "$version" >/dev/null
version=$((version + 1))
start "$other"
everyone_has_version "$version"

echo "== a planned stop ends with 0"
host=$(leader)
kill -TERM "${pid[$host]}"
status=0
wait "${pid[$host]}" || status=$?
unset "pid[$host]"
[ "$status" -eq 0 ] || fail "a planned stop ended with $status"
apply 71 "$version" >/dev/null
echo "all steps passed, version $((version + 1))"
