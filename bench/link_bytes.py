#!/usr/bin/env python3
"""Where the bytes that came from outside a school came from, from proxies' logs at --log-level debug.

    bench/link_bytes.py FOLDER

FOLDER holds one file *.log for each proxy, each line with the time since the start before it (in brackets or bare).
All figures are shares of the bytes that clients asked for (KB as the requests tell them, enrolments left out). Printed
are the shares by how answers came to be; those filled over the school's link by whether the fill could have been
spared; the late ones (answered after the class's aim and stretch) by box and by how; and, from first attempts, how many
objects were asked of more than one box of their school. A process that was replaced writes into the same file as its
successor for a while; on such days the attempts of both are mixed up, and many show as open.
"""
import argparse
import collections
import pathlib
import re

VERDICTS = ["served", "error", "full", "timed out", "not connected", "broken off", "called off", "never sent", "missing"]
NOTES = ["none", "hit", "filled", "filled by origin", "joined", "past fresh", "refused", "lost", "lacks", "no place",
         "origin failed"]
FILLS = ("filled", "filled by origin")
PAIR = re.compile(r"(\w+)=(\S*)")


def read(folder):
    """Requests by (proxy, start, name), and each proxy's settings and zone."""
    requests, settings, classes = {}, {}, {}
    for path in sorted(pathlib.Path(folder).glob("*.log")):
        start = 0
        for line in path.read_text(errors="replace").splitlines():
            words = line.split(" ", 4)
            if len(words) < 5 or words[2] != "debug":
                continue
            at, word, pairs = float(words[0].strip("[]")), words[3], dict(PAIR.findall(words[4]))
            if word == "settings":
                start += 1
                settings[path.stem] = {"zone": pairs["zone"], "pace": float(pairs["pace"])}
            elif word == "class":
                classes[pairs["place"]] = (int(pairs["aim_us"]) / 1e6, float(pairs["stretch"]))
            elif word == "sent":
                one = requests.setdefault((path.stem, start, pairs["req"]), {
                    "at": at, "cls": pairs["cls"], "kb": float(pairs["kb"]), "object": pairs["object"], "tries": []})
                one["tries"].append({"at": at, "box": pairs["at"], "via": pairs["via"], "how": "open"})
            elif word in ("ended", "answered"):
                one = requests.get((path.stem, start, pairs["req"]))
                if one and word == "ended":
                    verdict, note = VERDICTS[int(pairs["verdict"])], NOTES[int(pairs["note"])]
                    one["tries"][int(pairs["n"])].update(end=at, how=note if verdict == "served" else verdict)
                elif one:
                    one["answered"] = at
    return requests, settings, classes


def spared(requests, settings):
    """Each fill over a link, by whether a copy of its object had been served in its school before."""
    asked = collections.Counter(one["object"] for one in requests.values())
    served = sorted(((t["end"], settings[key[0]]["zone"], one, t) for key, one in requests.items() for t in one["tries"]
                     if t["how"] in FILLS + ("hit", "joined", "past fresh")), key=lambda s: s[0])
    boxes, anywhere, shares = collections.defaultdict(set), set(), collections.Counter()
    for _, zone, one, attempt in served:
        here = boxes[zone, one["object"]]
        if attempt["how"] in FILLS:
            why = ("asked for once" if asked[one["object"]] == 1 else
                   "another box of the school had it" if here - {attempt["box"]} else
                   "the same box had it" if here else
                   "another school had it" if one["object"] in anywhere else "first time")
            shares[why] += one["kb"]
        here.add(attempt["box"])
        anywhere.add(one["object"])
    return shares, boxes


def show(title, shares, total):
    print(title)
    for name, kb in shares.most_common():
        print(f"  {kb / total:7.3f}  {name}")


def main():
    flags = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    flags.add_argument("folder")
    everything, settings, classes = read(flags.parse_args().folder)
    order = {name: str(place) for place, name in enumerate(["video", "sheet", "enrol"])}
    requests = {key: one for key, one in everything.items() if one["object"].split("/")[0] and one["cls"] != "enrol"}
    total = sum(one["kb"] for one in requests.values()) or 1
    by_how = collections.Counter()
    for one in requests.values():
        for attempt in one["tries"]:
            by_how[attempt["how"]] += one["kb"]
    shares, boxes = spared(requests, settings)
    show(f"{len(requests)} requests, shares of the bytes asked for, by how attempts ended", by_how, total)
    show("filled over the school's link", shares, total)
    print(f"{sum(len(b) > 1 for b in boxes.values())} of {len(boxes)} objects were served by more than one box of a school")
    late, all_of = collections.Counter(), collections.Counter()
    for key, one in everything.items():
        aim, stretch = classes.get(order.get(one["cls"], ""), (0, 0))
        first, last = one["tries"][0], one["tries"][-1]
        all_of[first["box"]] += 1
        sending = one["kb"] / settings[key[0]]["pace"]
        if "answered" in one and aim > 0 and one["answered"] - one["at"] > aim + stretch * sending:
            late[first["box"], one["cls"], " then ".join(t["how"] for t in one["tries"])] += 1
    print(f"{sum(late.values())} late of {len(everything)}, by first box, class and how their attempts ended")
    for (box, cls, how), count in late.most_common(20):
        print(f"  {count:5}  {box} ({all_of[box]} first tries)  {cls}  {how}")


main()
