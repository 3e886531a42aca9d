#!/usr/bin/env python3
"""Journal entries of a scored panel as rows of docs/bench/acceptance.md: a line a seed, its days side by side.

Usage: acceptance_table.py JOURNAL_ENTRY.json ...
"""
import json
import sys


def what_failed(day):
    wrong = [f"{rule} {count}" for rule, count in day["rules"].items() if count]
    wrong += [str(day[key]) for key in ("gate", "fault") if day[key]]
    return ", ".join(wrong)


def main():
    for path in sys.argv[1:]:
        with open(path, encoding="utf-8") as file:
            entry = json.load(file)
        words = entry["argv"]
        seed = words[words.index("--seed") + 1] if "--seed" in words else "-"
        days = " ".join(f"{day['score']:.2f}" for day in entry["days"])
        failed = "; ".join(f"{day['name']}: {wrong}" for day in entry["days"] if (wrong := what_failed(day)))
        score = (entry.get("figures") or {}).get("real_score")
        verdict = next((line for line in entry["digest"].split("\n") if line.startswith("GATE")), "no verdict")
        print(f"| {entry['id']} | {seed} | {score} | {days} | {verdict} | {failed or 'nothing'} |")


if __name__ == "__main__":
    main()
