#!/usr/bin/env python3
"""Prints the table of docs/decisions.md from docs/measurements/decisions.jsonl."""
import collections
import json
import pathlib
import sys

path = pathlib.Path(__file__).parent.parent / "docs/measurements/decisions.jsonl"
rows = collections.defaultdict(list)
totals = collections.defaultdict(collections.Counter)
for line in path.read_text().splitlines():
    run = json.loads(line)
    rows[run["policy"], run["scenario"], run["deployment"]].append(run)
    totals[run["policy"]].update({"runs": 1})
    for count in ("flows", "broken_planned", "misrouted", "ran_twice", "refused_but_ran", "late_new_to_draining",
                  "wrong_answer"):
        totals[run["policy"]][count] += run[count]

COUNTS = ("broken_planned", "broken_unplanned", "unserved", "refused_but_ran", "ran_twice")
print("| scenario | deployment | " + " | ".join(c.replace("_", " ") for c in COUNTS)
      + " | imbalance p99 | wait / ideal, p99 |")
print("|" + "---|" * (len(COUNTS) + 4))
for (policy, scenario, deployment), runs in rows.items():
    if policy != "default":
        continue
    sums = [sum(run[c] for run in runs) for c in COUNTS]
    imbalance = sum(run["imbalance"]["p99"] for run in runs) / len(runs)
    wait = sum(run["wait_ms"]["p99"] / run["ideal"]["wait_ms"]["p99"] for run in runs) / len(runs)
    print(f"| {scenario} | {deployment} | " + " | ".join(map(str, sums)) + f" | {imbalance:.3f} | {wait:.2f} |")
for policy, counts in totals.items():
    print(policy, dict(counts), file=sys.stderr)
