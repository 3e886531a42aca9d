#!/usr/bin/env python3
"""Where the bytes that came from outside a school came from, from proxies' logs at --log-level debug.

    bench/link_bytes.py FOLDER

FOLDER holds one file *.log for each proxy, each line with the time since the start before it (in brackets or bare).
All figures are shares of the bytes that clients asked for (KB as the requests tell them, enrolments left out). Printed
are the shares by how answers came to be; those filled over the school's link by whether the fill could have been
spared; how many objects were served by more than one box of their school; and the late ones (answered after the
class's aim and stretch) by first box and by how. Classes are named in the order of the settings of this site. A process that was replaced writes into the same file as its
successor for a while; on such days the attempts of both are mixed up, and many show as open.
"""
import argparse
import collections

from fleet_log import NOTES, PAIR, VERDICTS, lines

CLASSES = ["video", "sheet", "enrol"]
FILLS = ("filled", "far")  # by a parent, by the origin behind it


def read(folder):
    """Requests by (proxy, start, name), and each proxy's settings and zone."""
    requests, settings, classes, starts = {}, {}, {}, collections.Counter()
    for proxy, at, word, rest in lines(folder):
        pairs = dict(PAIR.findall(rest))
        key = (proxy, starts[proxy], pairs.get("req"))
        one = requests.get(key)
        if word == "settings":
            starts[proxy] += 1
            settings[proxy] = {"zone": pairs["zone"], "pace": float(pairs["pace"])}
        elif word == "class":
            classes[CLASSES[int(pairs["place"])]] = (int(pairs["aim_us"]) / 1e6, float(pairs["stretch"]))
        elif word == "sent":
            one = requests.setdefault(key, {"at": at, "cls": pairs["cls"], "kb": float(pairs["kb"]),
                                            "object": pairs["object"], "tries": []})
            one["tries"].append({"box": pairs["at"], "how": "open"})
        elif word == "ended" and one:
            verdict, note = VERDICTS[int(pairs["verdict"])], NOTES[int(pairs["note"])]
            one["tries"][int(pairs["n"])].update(end=at, how=note if verdict == "served" else verdict)
        elif word == "answered" and one:
            one["answered"] = at
    return requests, settings, classes


def spared(requests, settings):
    """Each fill over a link, by whether a copy of its object had been served in its school before."""
    asked = collections.Counter(one["object"] for one in requests.values())
    served = sorted(((t["end"], settings[key[0]]["zone"], one, t) for key, one in requests.items() for t in one["tries"]
                     if t["how"] in FILLS + ("hit", "joined", "old")), key=lambda s: s[0])
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
    requests = {key: one for key, one in everything.items() if one["cls"] != "enrol"}
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
        aim, stretch = classes.get(one["cls"], (0, 0))
        first = one["tries"][0]
        all_of[first["box"]] += 1
        sending = one["kb"] / settings[key[0]]["pace"]
        if "answered" in one and aim > 0 and one["answered"] - one["at"] > aim + stretch * sending:
            late[first["box"], one["cls"], " then ".join(t["how"] for t in one["tries"])] += 1
    print(f"{sum(late.values())} late of {len(everything)}, by first box, class and how their attempts ended")
    for (box, cls, how), count in late.most_common(20):
        print(f"  {count:5}  {box} ({all_of[box]} first tries)  {cls}  {how}")


main()
