#!/usr/bin/env bash
# Rules on real entry hosts: three control and two entry processes on loopback, changes, killed and frozen processes, a
# quota and a drain. Needs curl.
# entry_rules_test.sh FOLDER_OF_THE_PROGRAMS
set -euo pipefail

bin=$1
source "$(dirname "$0")/control_group.sh"

declare -A zone=([e1]=a [e2]=b) entry_operators entry_callers entry_upstreams entry_mesh

write_entry_settings() {
    local host controls="" entries=""
    for host in e1 e2; do
        free_port "entry_operators[$host]"
        free_port "entry_callers[$host]"
        free_port "entry_upstreams[$host]"
        free_port "entry_mesh[$host]"
        entries+="\"$host=127.0.0.1:${entry_mesh[$host]}\", "
    done
    for host in "${hosts[@]}"; do
        controls+="\"$host=127.0.0.1:${mesh_port[$host]}\", "
        echo "entries = [$entries]" >>"$work/$host.toml"
    done
    for host in e1 e2; do
        local peer=e1
        if [ "$host" = e1 ]; then peer=e2; fi
        cat >"$work/$host.toml" <<END
host = "$host"
zone = "${zone[$host]}"
zones = ["a", "b"]
peers = ["$peer@${zone[$peer]}=127.0.0.1:${entry_mesh[$peer]}"]
controls = [$controls]
rules_file = "$work/rules-of-$host"
callers.port = ${entry_callers[$host]}
upstreams.port = ${entry_upstreams[$host]}
operators.port = ${entry_operators[$host]}
mesh.port = ${entry_mesh[$host]}
drain.lag_ms = 300
END
    done
    cat >"$work/upstreams.toml" <<END
name = "u"
zones = ["a", "b"]
instances = 2
entries = ["a=127.0.0.1:${entry_upstreams[e1]}", "b=127.0.0.1:${entry_upstreams[e2]}"]
END
}

start_entry() {
    "$bin/jackdaw-entry" --settings "$work/$1.toml" >>"$work/$1.log" 2>&1 &
    pid[$1]=$!
}

entry_status() { curl -sf -m 5 "http://127.0.0.1:${entry_operators[$1]}/v1/status"; }
entry_version() { entry_status "$1" | sed -n 's/.*"rules_version":\([0-9]*\).*/\1/p'; }
entry_has_version() { [ "$(entry_version "$1")" = "$2" ]; }
entry_answers() { entry_status "$1"; }
knows_upstreams() { entry_status "$1" | grep -q '"upstreams":[1-9]'; }
is_ready() { curl -sf -m 5 "http://127.0.0.1:${entry_operators[$1]}/readyz"; }
has_ended() { ! kill -0 "${pid[$1]}"; }

# Waits until an entry host has a version, and wants none shown below the one before: wait_upwards HOST LOWEST VERSION
wait_upwards() {
    local lowest=$2 shown
    for _ in $(seq 300); do
        shown=$(entry_version "$1")
        [ "$shown" -ge "$lowest" ] || fail "$1 shows version $shown after $lowest"
        if [ "$shown" = "$3" ]; then return; fi
        lowest=$shown
        sleep 0.1
    done
    fail "waited in vain: $1 has version $3"
}

# Applies a file of rules over the present version and wants it in force on both entry hosts.
apply_to_both() {
    local output
    output=$(ctl rules apply "$1" --expect "$version" --wait 20 2>&1) || fail "apply over version $version: $output"
    grep -qx "in force on 2 of 2 entry hosts" <<<"$output" || fail "apply over version $version said: $output"
    version=$((version + 1))
    for host in e1 e2; do
        entry_has_version "$host" "$version" || fail "$host shows version $(entry_version "$host"), not $version"
    done
}

budget_rules() {
    echo "retry.budget = 0.$((1000 + $1)) # asked for by Ana Kos" >"$work/rules-$1"
    echo "$work/rules-$1"
}

# A UUID of version 7.
new_submission() {
    local time
    time=$(printf '%012x' "$(date +%s%3N)")
    printf '%s-%s-7%03x-8%03x-%012x' "${time:0:8}" "${time:8:4}" $((RANDOM % 4096)) $((RANDOM % 4096)) $((RANDOM * RANDOM))
}

# Submits TASKS tasks of TEAM to an entry host, in its own zone: submit HOST TEAM TASKS
submit() {
    local tasks
    tasks=$(for _ in $(seq "$3"); do echo '{"payload": "{\"work_ms\": 1, \"echo\": \"r\"}"}'; done | paste -sd,)
    curl -s -m 15 -X PUT -H 'First-Attempt: true' -d "{\"client\": \"c\", \"team\": \"$2\", \"zone\": \"${zone[$1]}\", \"tasks\": [$tasks]}" \
        "http://127.0.0.1:${entry_callers[$1]}/v1/jobs/$(new_submission)"
}

expect_answer() {
    local answer=$1 word
    shift
    for word in "$@"; do
        grep -q "$word" <<<"$answer" || fail "no $word in the answer: $answer"
    done
}

version=0
write_settings
write_entry_settings
start_group
for host in e1 e2; do start_entry "$host"; done
for host in e1 e2; do wait_for "$host answers" entry_answers "$host"; done
"$bin/jackdaw-upstream" --settings "$work/upstreams.toml" >>"$work/upstreams.log" 2>&1 &
pid[upstreams]=$!

echo "== two changes are in force on both entry hosts"
apply_to_both "$(budget_rules 1)"
apply_to_both "$(budget_rules 2)"

echo "== a killed leader: the next change is in force on both"
old=$(leader)
kill_hard "$old"
apply_to_both "$(budget_rules 3)"
start "$old"
everyone_has_version "$version"

echo "== a frozen entry host: the change is not in force on it, and it catches up"
kill -STOP "${pid[e2]}"
status=0
output=$(ctl rules apply "$(budget_rules 4)" --expect "$version" --wait 1 2>&1) || status=$?
[ "$status" -eq 5 ] || fail "apply beside a frozen entry host ended with $status: $output"
grep -qx "in force on 1 of 2 entry hosts" <<<"$output" || fail "apply beside a frozen entry host said: $output"
version=$((version + 1))
kill -CONT "${pid[e2]}"
wait_for "e2 has version $version" entry_has_version e2 "$version"

echo "== a killed entry host comes back with its stored version while no control host answers, then with the newest"
kill_hard e1
for host in "${hosts[@]}"; do kill -STOP "${pid[$host]}"; done
start_entry e1
wait_for "e1 answers" entry_answers e1
first=$(entry_version e1)
for host in "${hosts[@]}"; do kill -CONT "${pid[$host]}"; done
[ "$first" = "$version" ] || fail "e1 came back with version $first, not $version"
kill_hard e1
ctl rules apply "$(budget_rules 5)" --expect "$version" --wait 0 >/dev/null 2>&1 || [ $? -eq 5 ] || fail "a change beside a killed entry host"
previous=$version
version=$((version + 1))
start_entry e1
wait_for "e1 answers" entry_answers e1
wait_upwards e1 "$previous" "$version"

echo "== a quota refuses on both entry hosts"
echo "team.small = { max_tasks = 1 } # asked for by Ana Kos" >"$work/quota"
apply_to_both "$work/quota"
for host in e1 e2; do
    wait_for "$host knows upstreams" knows_upstreams "$host"
    wait_for "$host is ready" is_ready "$host"
    expect_answer "$(submit "$host" small 2)" '"error": *"quota_exceeded"' '"ran": *"no"'
    expect_answer "$(submit "$host" small 1)" '"state": *"complete"'
    expect_answer "$(submit "$host" other 2)" '"state": *"complete"'
done

echo "== an entry host is drained"
ctl drain e1 >/dev/null
wait_for "e1 ends" has_ended e1
status=0
wait "${pid[e1]}" || status=$?
unset "pid[e1]"
[ "$status" -eq 0 ] || fail "a drained entry host ended with $status"
entry_has_version e2 "$version" || fail "e2 lost version $version"
echo "all steps passed, version $version"
