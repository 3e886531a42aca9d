#!/usr/bin/env python3
"""Times a suite of expectations on fleets of 12, 100 and 300 boxes, on one core and on all.

    bench/expect.py > table.md

The fleets stand at three hubs; the suite is written for each. About a minute.
"""
import json
import os
import subprocess
import tempfile
import time

SETTINGS = json.load(open(os.path.join(os.path.dirname(__file__), "..", "example", "config.json")))["settings"]


def write(folder, schools, boxes, pairs):
    settings = json.loads(json.dumps(SETTINGS))
    hubs = ["coast", "valley", "hinterland"]
    settings["zones"] = hubs + [f"school-{i + 1}" for i in range(schools)]
    settings["family_info"]["zone_hub"] = [0, 1, 2] + [i % 3 for i in range(schools)]
    settings["family_info"]["count_by_zone"] = [0, 0, 0] + [2] * schools
    settings["instances"] = 2 * schools
    settings["my_zone"] = "school-1"
    config = os.path.join(folder, "config.json")
    json.dump({"name": "n0", "listen": "127.0.0.1:0", "seed": "1", "settings": settings}, open(config, "w"))
    fleet = os.path.join(folder, "fleet.toml")
    with open(fleet, "w") as out:
        for school in range(schools):
            for box in range(boxes):
                out.write(f'[[box]]\nname = "s{school + 1}-{box + 1}"\nat = "school-{school + 1}"\nweight = 8\n')
        for hub in hubs:
            for parent in range(max(2, schools // 12)):
                out.write(f'[[parent]]\nname = "p-{hub}-{parent + 1}"\nat = "{hub}"\nweight = 20\n')
        out.write('[[origin]]\nname = "library"\nat = "coast"\nweight = 20\n')
    suite = os.path.join(folder, "expectations.toml")
    with open(suite, "w") as out:
        out.write("[traffic]\nper_s = 40\nseconds = 4\nmix = { video = 53, sheet = 44, enrol = 3 }\n")
        out.write(f"[worlds]\nmost_pairs = {pairs}\nmost = 100000\n")
        for name, rule in [("once", "never_twice = true"), ("drains", "no_new_work_after = 2"),
                           ("tries", "attempts_at_most = 8"), ("no boxes", 'never_fills_from = { kind = "cache" }')]:
            out.write(f'[[expect]]\nname = "{name}"\nreason = "r"\n{rule}\n')
    return config, fleet, suite


print("| boxes | schools | failures | threads | worlds | decisions | time to the verdict | decisions a second |")
print("| --- | --- | --- | --- | --- | --- | --- | --- |")
for schools, boxes in ((3, 4), (20, 5), (40, 8)):
    for failures, pairs in (("single", 0), ("and 500 pairs", 500)):
        for threads in (1, os.cpu_count()):
            if threads == 1 and schools == 40 and pairs:
                continue  # says nothing new and takes long
            with tempfile.TemporaryDirectory() as folder:
                config, fleet, suite = write(folder, schools, boxes, pairs)
                begin = time.monotonic()
                run = subprocess.run(["build/sumackeel", "expect", "run", suite, "--config", config, "--fleet", fleet,
                                      "--json", "--threads", str(threads)], capture_output=True, text=True)
                took = time.monotonic() - begin
                report = json.loads(run.stdout)
                print(f"| {schools * boxes} | {schools} | {failures} | {threads} | {report['worlds']} | {report['decisions']} | "
                      f"{took:.2f} s | {report['decisions'] / took:.0f} |", flush=True)
                assert run.returncode == 0, run.stdout
