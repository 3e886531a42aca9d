#!/usr/bin/env python3
"""Counts across a whole fleet what its proxies did, from their logs at --log-level debug.

    bench/fleet_log.py FOLDER [--every SECONDS] [--targets N]

FOLDER holds one file *.log for each proxy. Printed are, for each span of time, requests answered by how, attempts
by verdict and note, those that named each kind of source, connections dialled, and retries; then the targets that
got the most. All times are those of the lines' own first column.
"""
import argparse
import collections
import pathlib
import re

VERDICTS = ["served", "error", "full", "timed_out", "not_connected", "broken_off", "called_off", "never_sent",
            "missing"]
NOTES = ["none", "hit", "filled", "far", "joined", "old", "refused", "lost", "lacks", "no_place", "origin"]
ANSWERS = ["served", "same", "refused", "failed", "out_of_time"]
PAIR = re.compile(r"(\w+)=(\S*)")


def lines(folder):
    for path in sorted(pathlib.Path(folder).glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            words = line.split(" ", 4)
            # The bench puts its own clock before the program's line.
            if len(words) == 5 and words[2] in ("debug", "info", "warn", "error"):
                yield path.stem, float(words[0].strip("[]")), words[3], words[4]


def table(title, rows):
    print(f"\n{title}")
    names = sorted({name for _, row in rows for name in row}, key=str)
    print("  at   " + " ".join(f"{name[:11]:>11}" for name in names))
    for at, row in rows:
        print(f"{at:5.1f}  " + " ".join(f"{row.get(name, 0):>11}" for name in names))


def main():
    flags = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    flags.add_argument("folder")
    flags.add_argument("--every", type=float, default=1.0)
    flags.add_argument("--targets", type=int, default=12)
    given = flags.parse_args()
    spans = collections.defaultdict(lambda: collections.defaultdict(collections.Counter))
    at_target = collections.defaultdict(collections.Counter)
    sent = {}
    for proxy, when, word, rest in lines(given.folder):
        span = spans[int(when / given.every) * given.every]
        pairs = dict(PAIR.findall(rest))
        if word == "sent":
            sent[proxy, pairs["req"], pairs["n"]] = pairs
            span["sent"][pairs["cls"]] += 1
            span["sent"]["again"] += pairs["n"] != "0"
            span["sent"]["unwaited"] += pairs["holds"] == "true"
            at_target[pairs["at"]]["sent"] += 1
            if pairs["via"]:
                at_target[pairs["via"]]["named"] += 1
        elif word == "ended" and "verdict" in pairs:  # not the process's own last line
            verdict, note = VERDICTS[int(pairs["verdict"])], NOTES[int(pairs["note"])]
            span["ended"][verdict if note == "none" else f"{verdict[:4]}.{note}"] += 1
            at_target[pairs["at"]][verdict] += 1
            via = sent.get((proxy, pairs["req"], pairs["n"]), {}).get("via")
            if via and note not in ("none", "hit", "old"):
                at_target[via][f"src.{note}"] += 1
        elif word == "answered":
            span["answered"][ANSWERS[int(pairs["how"])]] += 1
        elif word == "dialled":
            span["dialled"]["all"] += 1
            at_target[pairs["at"]]["dialled"] += 1
        elif word == "module:":
            span["module"][" ".join(rest.split()[:2]).rstrip(":")] += 1
    for what in ("answered", "sent", "ended", "dialled", "module"):
        table(what, [(at, spans[at][what]) for at in sorted(spans)])
    print("\ntargets")
    for name, row in sorted(at_target.items(), key=lambda t: -sum(t[1].values()))[:given.targets]:
        print(f"  {name:14} " + " ".join(f"{k}={v}" for k, v in sorted(row.items())))


if __name__ == "__main__":
    main()
