#!/usr/bin/env bash
# Measures a group of three control processes on loopback: latency of a change, time to the next change after a killed
# leader, restart after many changes, size of the data folders. Needs curl. Prints figures; asserts none.
# control_trial.sh FOLDER_OF_THE_PROGRAMS [CHANGES]
set -euo pipefail

bin=$1
changes=${2:-1000}
source "$(dirname "$0")/control_group.sh"

now_ms() { date +%s%3N; }

# Prints p50, p99 and the largest of numbers on standard input.
quantiles() {
    sort -n | awk '{ value[NR] = $1 } END { printf "p50 %s, p99 %s, max %s (%d samples)\n", value[int((NR + 1) / 2)], value[int((NR * 99 + 99) / 100)], value[NR], NR }'
}

rules_of_size() {
    local line
    for line in $(seq "$1"); do
        echo "team.t$line = { weight = 3, max_tasks = 400, tasks_per_second = 2000 } # asked for by Ana Kos"
    done
    echo "retry.budget = 0.$((100000 + $2)) # asked for by Ana Kos"
}

uptime
write_settings
sed -i 's/^raft.compact_after_entries.*$//' "$work"/*.toml
start_group
leading=$(leader)
url="http://127.0.0.1:${operator_port[$leading]}/v1/rules"

for version in $(seq 0 $((changes - 1))); do
    rules_of_size 25 "$version" >"$work/rules"
    curl -s -o /dev/null -w '%{http_code} %{time_total}\n' -X PUT -H "Authorization: Bearer 0123456789abcdef" \
        --data-binary @"$work/rules" "$url?expect=$version&change=c$version"
done >"$work/latencies"
echo "changes that were not accepted: $(grep -vc '^200 ' "$work/latencies" || true)"
echo "change of 26 rules, seconds: $(awk '{ print $2 }' "$work/latencies" | quantiles)"
for host in "${hosts[@]}"; do
    echo "data folder of $host: $(du -sb "$work/data-$host" | cut -f1) bytes; resident: $(awk '/VmRSS/ { print $2 }' "/proc/${pid[$host]}/status") kB"
done

for round in 1 2 3 4 5; do
    for host in "${hosts[@]}"; do kill_hard "$host"; done
    begin=$(now_ms)
    for host in "${hosts[@]}"; do start "$host"; done
    until "$bin/jackdawctl" --settings "$work/ctl.toml" rules show 2>&1 | grep -q "^version $changes,"; do :; done
    echo "restart of all three with version $changes, round $round: served after $(($(now_ms) - begin)) ms"
done

version=$changes
for round in $(seq 10); do
    leading=$(leader)
    everyone_has_version "$version"
    begin=$(now_ms)
    kill_hard "$leading"
    apply "$round" "$version" >/dev/null
    echo $(($(now_ms) - begin))
    version=$((version + 1))
    start "$leading"
done >"$work/failovers"
echo "next change after a killed leader, ms: $(quantiles <"$work/failovers")"

sleep 2
before=$(for host in "${hosts[@]}"; do awk '{ print $14 + $15 }' "/proc/${pid[$host]}/stat"; done | paste -sd' ')
sleep 10
after=$(for host in "${hosts[@]}"; do awk '{ print $14 + $15 }' "/proc/${pid[$host]}/stat"; done | paste -sd' ')
echo "ticks of 10 ms in 10 s idle, before and after for each: $before -> $after"
uptime
