#!/usr/bin/python3
"""Compares variants of tarragonsill on the same days and seeds.

The figure of a day depends on its seed far more than on most mechanisms, so only
paired runs show small changes. Every variant runs every day with every seed. The
output is the mean of the paired differences from the first variant, with a
confidence interval and the pair with the largest difference.

    experiment.py soak --build build --seeds 1-5 --seconds 20 \\
        --variant all= --variant no-pace=answer_pace
    experiment.py days --bench FLEETBENCH --site SITE.toml --days quiet-1,FILE.toml \\
        --seeds 1-5 --variant all= --variant no-pace=answer_pace
    experiment.py show FILE.csv [--plot FILE.png]

A variant is NAME=MECHANISM[,MECHANISM], with the mechanisms that `tarragonsill
node --without` switches off. For `days` it may be NAME=@REVISION[:MECHANISM,...],
another revision of this repository. Exits with 1 if a run violated a guarantee,
with 2 if a run failed.
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
    """A configuration of the program that is compared."""

    name: str
    revision: str = ""
    without: list = field(default_factory=list)

    @staticmethod
    def parse(text):
        """Parses NAME=[@REVISION[:]][MECHANISM,...]."""
        name, separator, rest = text.partition("=")
        if not separator or not name:
            raise argparse.ArgumentTypeError(
                "'%s': expected NAME=MECHANISM,... or NAME=@REVISION" % text)
        revision = ""
        if rest.startswith("@"):
            revision, _, rest = rest[1:].partition(":")
        return Variant(name, revision, [n for n in rest.split(",") if n])


@dataclass
class Row:
    """The result of one run."""

    site: str
    day: str
    seed: int
    variant: str
    value: float
    broken: int
    details: str = ""

    def key(self):
        """Identifies the runs that form a pair."""
        return (self.site, self.day, self.seed)


@dataclass
class Comparison:
    """The difference of a variant from the first one."""

    variant: str
    pairs: int
    mean: float
    low: float
    high: float
    largest: float
    largest_pair: str
    broken: int

    def is_clear(self):
        """Whether the interval excludes zero."""
        return self.low > 0 or self.high < 0


def parse_seeds(text):
    """Parses seeds such as "1-5" or "3,7,9"."""
    seeds = []
    for part in text.split(","):
        first, separator, last = part.partition("-")
        try:
            seeds += range(int(first), int(last if separator else first) + 1)
        except ValueError as error:
            raise argparse.ArgumentTypeError("'%s': %s" % (part, error))
    return seeds


def interval(differences):
    """Returns the mean and its confidence interval by Student's t."""
    values = numpy.asarray(differences, dtype=float)
    mean = float(values.mean())
    if len(values) < 2 or float(values.std(ddof=1)) == 0.0:
        return mean, mean, mean
    low, high = stats.t.interval(CONFIDENCE, len(values) - 1, loc=mean,
                                 scale=stats.sem(values))
    return mean, float(low), float(high)


def compare(rows, day=None):
    """Compares every variant with the variant of the first row, in pairs."""
    selected = [row for row in rows if day is None or row.day == day]
    baseline_name = rows[0].variant
    baseline = {row.key(): row for row in selected
                if row.variant == baseline_name}
    result = []
    for name in dict.fromkeys(row.variant for row in selected):
        pairs = [(baseline[row.key()], row) for row in selected
                 if row.variant == name and row.key() in baseline]
        if name == baseline_name or not pairs:
            continue
        differences = [row.value - other.value for other, row in pairs]
        mean, low, high = interval(differences)
        largest = int(numpy.argmax(numpy.abs(differences)))
        result.append(Comparison(
            name, len(pairs), mean, low, high, differences[largest],
            "%s seed %d" % (pairs[largest][1].day, pairs[largest][1].seed),
            sum(row.broken for _, row in pairs)))
    return result


def show(rows):
    """Prints the comparison of all days together and of each day."""
    baseline = rows[0].variant
    values = [row.value for row in rows if row.variant == baseline]
    broken = sum(row.broken for row in rows if row.variant == baseline)
    print("%s: mean %.4f of %d runs, %d broken" %
          (baseline, numpy.mean(values), len(values), broken))
    header = "%-22s %-26s %5s %9s %19s %9s  %s" % (
        "variant", "day", "pairs", "mean", "95 % interval", "largest", "at")
    print(header)
    days = list(dict.fromkeys(row.day for row in rows))
    for day in [None] + (days if len(days) > 1 else []):
        for comparison in compare(rows, day):
            print("%-22s %-26s %5d %+9.4f  %+.4f to %+.4f%s %+9.4f  %s%s" % (
                comparison.variant, day or "all", comparison.pairs, comparison.mean,
                comparison.low, comparison.high,
                "*" if comparison.is_clear() else " ",
                comparison.largest, comparison.largest_pair,
                "  BROKEN %d" % comparison.broken if comparison.broken else ""))


def write_csv(rows, path):
    """Writes the runs to a CSV file."""
    with open(path, "w", newline="", encoding="utf-8") as out:
        writer = csv.writer(out)
        writer.writerow(COLUMNS)
        for row in rows:
            writer.writerow([row.site, row.day, row.seed, row.variant,
                             "%.6g" % row.value, row.broken, row.details])


def read_csv(path):
    """Reads runs written by `write_csv`."""
    with open(path, newline="", encoding="utf-8") as source:
        return [Row(r["site"], r["day"], int(r["seed"]), r["variant"],
                    float(r["value"]), int(r["broken"]), r["details"])
                for r in csv.DictReader(source)]


def plot(rows, path):
    """Plots the differences of each variant with their mean and interval."""
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot
    comparisons = compare(rows)
    if not comparisons:
        return
    figure, axes = pyplot.subplots(figsize=(9, 1.5 + 0.45 * len(comparisons)))
    baseline = {row.key(): row for row in rows if row.variant == rows[0].variant}
    for position, entry in enumerate(reversed(comparisons)):
        axes.errorbar(entry.mean, position,
                      xerr=[[entry.mean - entry.low], [entry.high - entry.mean]],
                      fmt="o", color="black", capsize=4)
        points = [row.value - baseline[row.key()].value for row in rows
                  if row.variant == entry.variant and row.key() in baseline]
        axes.plot(points, [position + 0.15] * len(points), "|", color="tab:blue")
    axes.axvline(0, color="grey", linewidth=0.8)
    axes.set_yticks(range(len(comparisons)),
                    [entry.variant for entry in reversed(comparisons)])
    axes.set_xlabel("difference from %s, same day and seed" % rows[0].variant)
    figure.tight_layout()
    figure.savefig(path, dpi=120)


class SoakRunner:
    """Runs the fault soak of the lab. The value is answers per second."""

    SUMMARY = re.compile(r"flows opened (\d+), answers (\d+), resets (\d+), "
                         r"refused (\d+), stalled (\d+)")

    def __init__(self, args):
        self.args = args
        self.networks = list(range(1, args.jobs + 1))

    def prepare(self, _variant):
        """Does nothing, since one build runs every variant."""

    def run(self, variant, _day, seed):
        """Runs one seed."""
        network = self.networks.pop()
        command = [os.path.join(self.args.build, "tarragonsill-lab"), "soak",
                   "--seed", str(seed), "--seconds", str(self.args.seconds),
                   "--entries", str(self.args.entries),
                   "--network", str(network)]
        for name in self.args.only.split(",") if self.args.only else []:
            command += ["--only", name]
        if variant.without:
            command += ["--node-without", ",".join(variant.without)]
        process = subprocess.run(command, capture_output=True, text=True,
                                 check=False, timeout=60 + 3 * self.args.seconds)
        self.networks.append(network)
        summary = self.SUMMARY.search(process.stdout)
        if summary is None:
            raise RuntimeError("%s\n%s%s" % (
                " ".join(command), process.stdout, process.stderr))
        opened, answers, resets, refused, stalled = map(int, summary.groups())
        return Row("soak", self.args.only or "all faults", seed, variant.name,
                   answers / self.args.seconds, process.stdout.count("BROKEN"),
                   "opened %d resets %d refused %d stalled %d" % (
                       opened, resets, refused, stalled))


class DaysRunner:
    """Runs days of the operators' bench. The value is the figure G of a day."""

    def __init__(self, args):
        self.args = args
        self.work = Path(args.work or tempfile.mkdtemp(prefix="experiment-"))
        self.directory = None

    def prepare(self, variant):
        """Copies the sources, sets the mechanisms of the variant and builds."""
        self.directory = self.work / (variant.revision or "working-tree")
        if not self.directory.exists():
            self.copy_sources(variant)
        deployment_file = self.directory / "deploy" / "system.toml"
        text = deployment_file.read_text(encoding="utf-8")
        options = "".join(" --without %s" % ",".join(variant.without)
                          for _ in variant.without[:1])
        text = re.sub(r'(?m)^(run = "target/tarragonsill node[^"]*?)'
                      r'(?: --without [\w,]+)?"', r'\1%s"' % options, text)
        deployment_file.write_text(text, encoding="utf-8")
        self.run_bench(["build"])

    def copy_sources(self, variant):
        """Copies a revision, or the files of the working tree known to git."""
        subprocess.run(["git", "clone", "-q", str(REPOSITORY),
                        str(self.directory)], check=True)
        if variant.revision:
            subprocess.run(["git", "checkout", "-q", variant.revision],
                           cwd=self.directory, check=True)
            return
        listed = subprocess.run(
            ["git", "ls-files", "-co", "--exclude-standard"], cwd=REPOSITORY,
            check=True, capture_output=True, text=True).stdout.split("\n")
        for name in filter(None, listed):
            source = REPOSITORY / name
            if name.startswith("journal/") or not source.is_file():
                continue
            (self.directory / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(source, self.directory / name)

    def run_bench(self, arguments):
        """Runs the bench in the copy."""
        process = subprocess.run([self.args.bench] + arguments, cwd=self.directory,
                                 capture_output=True, text=True, check=False)
        if process.returncode not in (0, 1):
            raise RuntimeError("%s\n%s%s" % (
                " ".join(arguments), process.stdout, process.stderr))
        return process

    def run(self, variant, day, seed):
        """Runs one day."""
        site, name = day
        report = self.work / ("%s-%s-%d-%s.json" % (
            Path(site).stem, Path(name).stem, seed, variant.name))
        arguments = ["run", site, name, "--seed", str(seed), "--report",
                     str(report)]
        arguments += [] if self.args.cpu else ["--no-cpu"]
        arguments += ["--small"] if self.args.small else []
        arguments += (["--vary"] if name.endswith(".toml") and self.args.vary
                      else [])
        process = self.run_bench(arguments)
        try:
            result = json.loads(report.read_text(encoding="utf-8"))
        except (OSError, ValueError) as error:
            raise RuntimeError("%s: %s\n%s" % (arguments, error, process.stdout))
        parts = dict((p[0], p[2]) for p in result["parts"])
        broken = sum(int(n) if isinstance(n, (int, float)) else 1
                     for n in result["breaks"].values())
        return Row(Path(site).stem, Path(name).stem, seed, variant.name,
                   result["G"], broken + (1 if result["fault"] else 0),
                   "windows %.3f served %.4f breaks %s" % (
                       parts.get("worst windows", 0.0), result["served"],
                       json.dumps(result["breaks"])))


def run_variants(args, runner, days):
    """Runs every variant on every day and seed; returns the rows."""
    rows = []
    for variant in args.variant:
        runner.prepare(variant)
        jobs = [(day, seed) for day in days for seed in args.seeds]
        with ThreadPoolExecutor(args.jobs) as pool:
            rows += pool.map(lambda job: runner.run(variant, *job), jobs)
    return rows


def add_common_options(parser):
    """Adds the options that `soak` and `days` have in common."""
    parser.add_argument("--variant", type=Variant.parse, action="append",
                        required=True, help="NAME=MECHANISM,...; repeatable")
    parser.add_argument("--seeds", type=parse_seeds, default=[1, 2, 3])
    parser.add_argument("--jobs", type=int, default=max(1, os.cpu_count() // 2))
    parser.add_argument("--csv", help="write the runs to this file")
    parser.add_argument("--plot", help="plot the differences to this file (PNG)")


def read_arguments():
    """Parses the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    commands = parser.add_subparsers(dest="command", required=True)
    soak = commands.add_parser("soak", help="fault soak of the lab")
    add_common_options(soak)
    soak.add_argument("--build", default="build")
    soak.add_argument("--seconds", type=int, default=20)
    soak.add_argument("--entries", type=int, default=6)
    soak.add_argument("--only", default="",
                      help="only these faults, separated by commas")
    days = commands.add_parser("days", help="days of the operators' bench")
    add_common_options(days)
    days.add_argument("--bench", required=True, help="program of the bench")
    days.add_argument("--site", action="append", required=True)
    days.add_argument("--days", required=True,
                      help="names or files, separated by commas")
    days.add_argument("--work", help="directory for copies and reports")
    days.add_argument("--small", action="store_true",
                      help="pass --small to the bench")
    days.add_argument("--vary", action="store_true",
                      help="pass --vary to the bench for day files")
    days.add_argument("--cpu", action="store_true",
                      help="count processor time (runs are less repeatable)")
    show_command = commands.add_parser(
        "show", help="print the comparison of a CSV file")
    show_command.add_argument("csv")
    show_command.add_argument("--plot")
    return parser.parse_args()


def main():
    """Runs the variants, or reads earlier runs, and prints the comparison."""
    args = read_arguments()
    try:
        if args.command == "show":
            rows = read_csv(args.csv)
        elif args.command == "soak":
            rows = run_variants(args, SoakRunner(args), [None])
        else:
            args.bench = str(Path(args.bench).resolve())
            sites = [str(Path(site).resolve()) for site in args.site]
            names = [str(Path(name).resolve()) if name.endswith(".toml")
                     else name for name in args.days.split(",")]
            rows = run_variants(
                args, DaysRunner(args),
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
