#!/usr/bin/env bash
# Three real control processes on loopback: changes, races, resends, killed leaders, damaged and lost data folders.
# control_group_test.sh FOLDER_OF_THE_PROGRAMS
set -euo pipefail

bin=$1
source "$(dirname "$0")/control_group.sh"

write_settings
for host in "${hosts[@]}"; do
    "$bin/jackdaw-control" --settings "$work/$host.toml" --check-settings >/dev/null
done

echo "== an empty data folder is refused; a group is founded and takes members in"
expect_refusal a1 "no data folder"
start_group

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

echo "== a frozen leader: the others take the next change, and it catches up"
old=$(leader)
kill -STOP "${pid[$old]}"
apply 8 "$version" >/dev/null
version=$((version + 1))
kill -CONT "${pid[$old]}"
everyone_has_version "$version"

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
if "$bin/jackdaw-control" --settings "$work/$host.toml" --found >/dev/null 2>&1; then
    fail "a second group was founded beside a living one"
fi
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

echo "== a planned stop ends with 0, and answers a request that is being sent"
host=$(leader)
exec 5<>"/dev/tcp/127.0.0.1/${operator_port[$host]}"
printf 'GET /v1/status HTTP/1.1\r\nHo' >&5
sleep 0.3 # until it is read
kill -TERM "${pid[$host]}"
sleep 1 # a leader takes 0.5 s to hand over
(printf 'st: x\r\n\r\n' >&5) || true
line=""
read -r -t 5 line <&5 || true
[[ "$line" == "HTTP/1.1 200"* ]] || fail "a request was cut off: '$line'"
exec 5>&-
status=0
wait "${pid[$host]}" || status=$?
unset "pid[$host]"
[ "$status" -eq 0 ] || fail "a planned stop ended with $status"
apply 71 "$version" >/dev/null
echo "all steps passed, version $((version + 1))"
