#!/usr/bin/python3
"""Compares variants of tarragonsill on the same days with the same seeds.

Only pairs tell small changes apart: a day's figure depends on its seed far more
than on most mechanisms. So each variant plays every day with every seed, and
what is printed is the mean of the differences from the first variant, with an
interval and the worst pair.

    experiment.py soak --build build --seeds 1-5 --seconds 20 \\
        --variant all= --variant no-pace=answer_pace
    experiment.py days --bench FLEETBENCH --site SITE.toml --days quiet-1,FILE.toml \\
        --seeds 1-5 --variant all= --variant no-pace=answer_pace
    experiment.py show FILE.csv [--plot FILE.png]

A variant is NAME=MECHANISM[,MECHANISM]: what `tarragonsill node --without` is to
switch off; for `days` also NAME=@REVISION[:MECHANISM,...], another revision of
this repository. Exits with 1 if any run broke a rule, with 2 if one did not play.
"""
import argparse
import csv
import json
import os
import re
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import numpy
from scipy import stats

REPOSITORY = Path(__file__).resolve().parent.parent
CONFIDENCE = 0.95
COLUMNS = ["site", "day", "seed", "variant", "value", "broken", "details"]


@dataclass
class Variant:
    """One way to run the program."""

    name: str
    revision: str = ""
    without: list = field(default_factory=list)

    @staticmethod
    def parse(text):
        """Reads NAME=[@REVISION[:]][MECHANISM,...]."""
        name, sign, rest = text.partition("=")
        if not sign or not name:
            raise argparse.ArgumentTypeError(
                "'%s' is not NAME=MECHANISM,... or NAME=@REVISION" % text)
        revision = ""
        if rest.startswith("@"):
            revision, _, rest = rest[1:].partition(":")
        return Variant(name, revision, [n for n in rest.split(",") if n])


@dataclass
class Row:
    """The figure of one run."""

    site: str
    day: str
    seed: int
    variant: str
    value: float
    broken: int
    details: str = ""

    def key(self):
        """What the runs of a pair have in common."""
        return (self.site, self.day, self.seed)


@dataclass
class Comparison:
    """How a variant differs from the first one."""

    variant: str
    pairs: int
    mean: float
    low: float
    high: float
    worst: float
    worst_pair: str
    broken: int

    def is_clear(self):
        """Whether the interval excludes zero."""
        return self.low > 0 or self.high < 0


def parse_seeds(text):
    """Reads "1-5" or "3,7,9"."""
    seeds = []
    for part in text.split(","):
        first, sign, last = part.partition("-")
        try:
            seeds += range(int(first), int(last if sign else first) + 1)
        except ValueError as error:
            raise argparse.ArgumentTypeError("'%s': %s" % (part, error))
    return seeds


def interval(differences):
    """The mean and its interval by Student's t."""
    values = numpy.asarray(differences, dtype=float)
    mean = float(values.mean())
    if len(values) < 2 or float(values.std(ddof=1)) == 0.0:
        return mean, mean, mean
    low, high = stats.t.interval(CONFIDENCE, len(values) - 1, loc=mean,
                                 scale=stats.sem(values))
    return mean, float(low), float(high)


def compare(rows, day=None):
    """Compares every variant with the one of the first row, pair by pair."""
    chosen = [row for row in rows if day is None or row.day == day]
    base_name = rows[0].variant
    base = {row.key(): row for row in chosen if row.variant == base_name}
    result = []
    for name in dict.fromkeys(row.variant for row in chosen):
        pairs = [(base[row.key()], row) for row in chosen
                 if row.variant == name and row.key() in base]
        if name == base_name or not pairs:
            continue
        differences = [row.value - other.value for other, row in pairs]
        mean, low, high = interval(differences)
        worst = int(numpy.argmax(numpy.abs(differences)))
        result.append(Comparison(
            name, len(pairs), mean, low, high, differences[worst],
            "%s seed %d" % (pairs[worst][1].day, pairs[worst][1].seed),
            sum(row.broken for _, row in pairs)))
    return result


def show(rows):
    """Prints the comparison over all days and for each day."""
    base = rows[0].variant
    values = [row.value for row in rows if row.variant == base]
    broken = sum(row.broken for row in rows if row.variant == base)
    print("%s: mean %.4f of %d runs, %d broken" %
          (base, numpy.mean(values), len(values), broken))
    head = "%-22s %-26s %5s %9s %19s %9s  %s" % (
        "variant", "day", "pairs", "mean", "95 % interval", "largest", "at")
    print(head)
    days = list(dict.fromkeys(row.day for row in rows))
    for day in [None] + (days if len(days) > 1 else []):
        for found in compare(rows, day):
            print("%-22s %-26s %5d %+9.4f  %+.4f to %+.4f%s %+9.4f  %s%s" % (
                found.variant, day or "all", found.pairs, found.mean,
                found.low, found.high, "*" if found.is_clear() else " ",
                found.worst, found.worst_pair,
                "  BROKEN %d" % found.broken if found.broken else ""))


def write_csv(rows, path):
    """Keeps the runs."""
    with open(path, "w", newline="", encoding="utf-8") as out:
        writer = csv.writer(out)
        writer.writerow(COLUMNS)
        for row in rows:
            writer.writerow([row.site, row.day, row.seed, row.variant,
                             "%.6g" % row.value, row.broken, row.details])


def read_csv(path):
    """Reads what `write_csv` wrote."""
    with open(path, newline="", encoding="utf-8") as text:
        return [Row(r["site"], r["day"], int(r["seed"]), r["variant"],
                    float(r["value"]), int(r["broken"]), r["details"])
                for r in csv.DictReader(text)]


def plot(rows, path):
    """Draws each variant's differences, day by day."""
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot
    found = compare(rows)
    if not found:
        return
    figure, axes = pyplot.subplots(figsize=(9, 1.5 + 0.45 * len(found)))
    base = {row.key(): row for row in rows if row.variant == rows[0].variant}
    for place, entry in enumerate(reversed(found)):
        axes.errorbar(entry.mean, place,
                      xerr=[[entry.mean - entry.low], [entry.high - entry.mean]],
                      fmt="o", color="black", capsize=4)
        points = [row.value - base[row.key()].value for row in rows
                  if row.variant == entry.variant and row.key() in base]
        axes.plot(points, [place + 0.15] * len(points), "|", color="tab:blue")
    axes.axvline(0, color="grey", linewidth=0.8)
    axes.set_yticks(range(len(found)),
                    [entry.variant for entry in reversed(found)])
    axes.set_xlabel("difference from %s, same day and seed" % rows[0].variant)
    figure.tight_layout()
    figure.savefig(path, dpi=120)


class Soak:
    """Plays the lab's fault soak; the value is requests answered a second."""

    SUMMARY = re.compile(r"flows opened (\d+), answers (\d+), resets (\d+), "
                         r"refused (\d+), stalled (\d+)")

    def __init__(self, args):
        self.args = args
        self.networks = list(range(1, args.jobs + 1))

    def prepare(self, _variant):
        """Nothing to do: the build takes every variant."""

    def run(self, variant, _day, seed):
        """Plays one seed."""
        network = self.networks.pop()
        command = [os.path.join(self.args.build, "tarragonsill-lab"), "soak",
                   "--seed", str(seed), "--seconds", str(self.args.seconds),
                   "--entries", str(self.args.entries),
                   "--network", str(network)]
        for name in self.args.only.split(",") if self.args.only else []:
            command += ["--only", name]
        if variant.without:
            command += ["--node-without", ",".join(variant.without)]
        done = subprocess.run(command, capture_output=True, text=True,
                              check=False, timeout=60 + 3 * self.args.seconds)
        self.networks.append(network)
        found = self.SUMMARY.search(done.stdout)
        if found is None:
            raise RuntimeError("%s\n%s%s" % (" ".join(command), done.stdout,
                                             done.stderr))
        opened, answers, resets, refused, stalled = map(int, found.groups())
        return Row("soak", self.args.only or "all faults", seed, variant.name,
                   answers / self.args.seconds, done.stdout.count("BROKEN"),
                   "opened %d resets %d refused %d stalled %d" % (
                       opened, resets, refused, stalled))


class Days:
    """Plays days of the operators' bench; the value is a day's worth."""

    def __init__(self, args):
        self.args = args
        self.work = Path(args.work or tempfile.mkdtemp(prefix="experiment-"))
        self.folder = None

    def prepare(self, variant):
        """Makes a copy of the sources that runs the variant, and builds it."""
        self.folder = self.work / (variant.revision or "working-tree")
        if not self.folder.exists():
            self.copy(variant)
        deploy = self.folder / "deploy" / "system.toml"
        text = deploy.read_text(encoding="utf-8")
        words = "".join(" --without %s" % ",".join(variant.without)
                        for _ in variant.without[:1])
        text = re.sub(r'(?m)^(run = "target/tarragonsill node[^"]*?)'
                      r'(?: --without [\w,]+)?"', r'\1%s"' % words, text)
        deploy.write_text(text, encoding="utf-8")
        self.call(["build"])

    def copy(self, variant):
        """Copies a revision, or the working tree as git sees it."""
        subprocess.run(["git", "clone", "-q", str(REPOSITORY),
                        str(self.folder)], check=True)
        if variant.revision:
            subprocess.run(["git", "checkout", "-q", variant.revision],
                           cwd=self.folder, check=True)
            return
        listed = subprocess.run(
            ["git", "ls-files", "-co", "--exclude-standard"], cwd=REPOSITORY,
            check=True, capture_output=True, text=True).stdout.split("\n")
        for name in filter(None, listed):
            source = REPOSITORY / name
            if name.startswith("journal/") or not source.is_file():
                continue
            (self.folder / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(source, self.folder / name)

    def call(self, words):
        """Calls the bench in the copy."""
        done = subprocess.run([self.args.bench] + words, cwd=self.folder,
                              capture_output=True, text=True, check=False)
        if done.returncode not in (0, 1):
            raise RuntimeError("%s\n%s%s" % (" ".join(words), done.stdout,
                                             done.stderr))
        return done

    def run(self, variant, day, seed):
        """Plays one day."""
        site, name = day
        report = self.work / ("%s-%s-%d-%s.json" % (
            Path(site).stem, Path(name).stem, seed, variant.name))
        words = ["run", site, name, "--seed", str(seed), "--report",
                 str(report)]
        words += [] if self.args.cpu else ["--no-cpu"]
        words += ["--small"] if self.args.small else []
        words += ["--vary"] if name.endswith(".toml") and self.args.vary else []
        done = self.call(words)
        try:
            found = json.loads(report.read_text(encoding="utf-8"))
        except (OSError, ValueError) as error:
            raise RuntimeError("%s: %s\n%s" % (words, error, done.stdout))
        windows = dict((p[0], p[2]) for p in found["parts"])
        broken = sum(int(n) if isinstance(n, (int, float)) else 1
                     for n in found["breaks"].values())
        return Row(Path(site).stem, Path(name).stem, seed, variant.name,
                   found["G"], broken + (1 if found["fault"] else 0),
                   "windows %.3f served %.4f breaks %s" % (
                       windows.get("worst windows", 0.0), found["served"],
                       json.dumps(found["breaks"])))


def play(args, player, days):
    """Runs every variant on every day and seed; returns the rows."""
    rows = []
    for variant in args.variant:
        player.prepare(variant)
        jobs = [(day, seed) for day in days for seed in args.seeds]
        with ThreadPoolExecutor(args.jobs) as pool:
            rows += pool.map(lambda job: player.run(variant, *job), jobs)
    return rows


def add_common(parser):
    """Options of both players."""
    parser.add_argument("--variant", type=Variant.parse, action="append",
                        required=True, help="NAME=MECHANISM,...; repeatable")
    parser.add_argument("--seeds", type=parse_seeds, default=[1, 2, 3])
    parser.add_argument("--jobs", type=int, default=max(1, os.cpu_count() // 2))
    parser.add_argument("--csv", help="keep the runs here")
    parser.add_argument("--plot", help="draw the differences here (PNG)")


def read_arguments():
    """Reads the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    commands = parser.add_subparsers(dest="command", required=True)
    soak = commands.add_parser("soak", help="the lab's fault soak")
    add_common(soak)
    soak.add_argument("--build", default="build")
    soak.add_argument("--seconds", type=int, default=20)
    soak.add_argument("--entries", type=int, default=6)
    soak.add_argument("--only", default="", help="these faults only")
    days = commands.add_parser("days", help="days of the operators' bench")
    add_common(days)
    days.add_argument("--bench", required=True, help="the bench's program")
    days.add_argument("--site", action="append", required=True)
    days.add_argument("--days", required=True, help="names or files, by comma")
    days.add_argument("--work", help="keep copies and reports here")
    days.add_argument("--small", action="store_true", help="small twins")
    days.add_argument("--vary", action="store_true", help="vary day files")
    days.add_argument("--cpu", action="store_true",
                      help="charge processor time (runs repeat less)")
    shown = commands.add_parser("show", help="print kept runs again")
    shown.add_argument("csv")
    shown.add_argument("--plot")
    return parser.parse_args()


def main():
    """Plays, keeps and shows."""
    args = read_arguments()
    try:
        if args.command == "show":
            rows = read_csv(args.csv)
        elif args.command == "soak":
            rows = play(args, Soak(args), [None])
        else:
            args.bench = str(Path(args.bench).resolve())
            sites = [str(Path(site).resolve()) for site in args.site]
            names = [str(Path(name).resolve()) if name.endswith(".toml")
                     else name for name in args.days.split(",")]
            rows = play(args, Days(args),
                        [(site, name) for site in sites for name in names])
    except (RuntimeError, OSError, subprocess.SubprocessError) as error:
        print("experiment: %s" % error, file=sys.stderr)
        return 2
    if args.command != "show" and args.csv:
        write_csv(rows, args.csv)
    show(rows)
    if args.plot:
        plot(rows, args.plot)
    return 1 if any(row.broken for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
