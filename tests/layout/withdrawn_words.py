#!/usr/bin/env python3
"""Words that were given up do not come back into identifiers or log lines of src and include.

withdrawn_words.txt lists them, a line each: the word and what stands for it now. Below `[unread]` it lists files that have
not been read through yet; they are passed over, and one that is listed without need is refused. Strings other than log
lines are not looked at: wires, files and settings keep their words. Usage: withdrawn_words.py ROOT
"""
import os
import re
import sys

COMMENT = re.compile(r"//[^\n]*|/\*.*?\*/", re.S)
STRING = re.compile(r'R"\((?:.|\n)*?\)"|"(?:\\.|[^"\\\n])*"')
LOG_CALL = re.compile(r"\b(?:log::(?:debug|info|warn|error)|\w*log\w*\.warn|line\.warn)\(\s*((?:\"(?:\\.|[^\"\\\n])*\"\s*)+)")
PART = re.compile(r"[A-Z]?[a-z]+|[A-Z]+(?![a-z])")


def lists(root):
    words, unread, section = {}, set(), None
    with open(os.path.join(root, "tests", "layout", "withdrawn_words.txt"), encoding="utf-8") as file:
        for line in file:
            line = line.strip()
            if line.startswith("["):
                section = line
            elif line and not line.startswith("#"):
                if section == "[unread]":
                    unread.add(line)
                else:
                    word, _, instead = line.partition(" ")
                    words[word] = instead.strip()
    return words, unread


def found_in(text, words):
    """(line, identifier or log line, word) of each withdrawn word."""
    hits = []
    plain = COMMENT.sub(lambda found: re.sub(r"[^\n]", " ", found[0]), text)
    for call in LOG_CALL.finditer(plain):
        for part in re.findall(r"[a-z]+", call[1].lower()):
            if part in words:
                hits.append((plain.count("\n", 0, call.start()) + 1, call[1].strip(), part))
    code = STRING.sub(lambda found: re.sub(r"[^\n]", " ", found[0]), plain)
    code = re.sub(r"^\s*#.*$", "", code, flags=re.M)
    for name in re.finditer(r"[A-Za-z_]\w*", code):
        for part in PART.findall(name[0]):
            if part.lower() in words:
                hits.append((code.count("\n", 0, name.start()) + 1, name[0], part.lower()))
    return hits


def main():
    root = sys.argv[1]
    words, unread = lists(root)
    bad, needed, files = 0, set(), 0
    for top in ("src", "include"):
        for folder, _, names in os.walk(os.path.join(root, top)):
            for name in sorted(names):
                if not name.endswith((".h", ".cpp")):
                    continue
                path = os.path.relpath(os.path.join(folder, name), root)
                files += 1
                with open(os.path.join(root, path), encoding="utf-8") as file:
                    hits = found_in(file.read(), words)
                if path in unread:
                    needed |= {path} if hits else set()
                    continue
                for line, what, word in hits:
                    print(f"{path}:{line}: '{word}' in {what}: {words[word]}")
                bad += len(hits)
    for path in sorted(unread - needed):
        print(f"withdrawn_words.txt lists {path} without need")
        bad += 1
    print(f"{files} files, {len(unread)} not read through yet, {bad} complaints")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
