#!/usr/bin/python3
"""Splits the worth that days of the operators' bench lost into its causes.

    lost-worth.py REPORT.json...

A report is what `fleetbench run ... --report FILE` writes. Prints a Markdown
table with a row for each day. The columns are the parts of the score, each by
its weight, and the prices; they sum to what the day lacks to a worth of 1.
Exits with 2 if a file is no report.
"""
import json
import sys
from pathlib import Path

PARTS = ["whole day", "worst windows", "worst class", "worst zone", "nines"]
PRICES = {
    "machine-seconds": "machines",
    "memory, GB x seconds": "memory",
    "new connections to servers": "connections",
    "cloud calls": "store calls",
}
OTHER = "other prices"


def lost_worth(report):
    """Returns the lost worth by cause."""
    lost = dict.fromkeys(PARTS + list(PRICES.values()) + [OTHER], 0.0)
    for name, weight, value in report["parts"]:
        lost[name] = lost.get(name, 0.0) + weight * (1.0 - value)
    for name, _amount, price in report["prices"]:
        lost[PRICES.get(name, OTHER)] += price
    return lost


def main(paths):
    """Prints the table; returns the exit status."""
    if not paths:
        print(__doc__, file=sys.stderr)
        return 2
    rows = []
    for path in paths:
        try:
            report = json.loads(Path(path).read_text(encoding="utf-8"))
            rows.append((Path(path).stem, lost_worth(report), report["G"]))
        except (OSError, ValueError, KeyError, TypeError) as error:
            print("lost-worth: %s: not a report: %s" % (path, error), file=sys.stderr)
            return 2
    causes = [cause for cause in rows[0][1]
              if any(row[1].get(cause, 0.0) >= 0.00005 for row in rows)]
    print("| day | %s | worth |" % " | ".join(causes))
    print("|---" * (len(causes) + 2) + "|")
    for name, lost, worth in rows:
        cells = ["%.4f" % lost.get(cause, 0.0) for cause in causes]
        print("| %s | %s | %.3f |" % (name, " | ".join(cells), worth))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
