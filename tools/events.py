#!/usr/bin/env python3
"""Runs the lab with single events and with pairs; prints one row per run.

events.py BUILD [--flows N] [--rate R] [--seeds 1,2] [--only TEXT] [--jobs J]
Exits with 1 if a run failed or violated a guarantee.
"""
import argparse
import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from itertools import count
from queue import Queue

SCENARIOS = {
    "none": ["", 8],
    "kill-entry": ["kill-entry@4", 10],
    "stop-entry": ["stop-entry@4", 10],
    "join-entry": ["join-entry@3", 12],
    "pause-entry": ["pause-entry@4", 14],
    "drain-upstream": ["drain-upstream@4", 11],
    "cold-upstream": ["cold-upstream@4", 10],
    "zone-out-in": ["zone-out@4 zone-in@10", 15],
    "cut-heal": ["cut-zone@4 heal-zone@10", 16],
    "platform-down-up": ["platform-down@3 platform-up@8", 12],
    "platform-slow": ["platform-slow@3 drain-upstream@5", 12],
    "lose-answer": ["lose-answer@3 drain-upstream@4", 11],
    "apply": ["apply:{changed}@4", 11],
    "rolling": ["stop-entry:{zone}-entry-1@3 join-entry@9 "
                "stop-entry:{zone}-entry-2@16", 26],
    "kill+drain": ["drain-upstream@3 kill-entry@4", 11],
    "pause+cold": ["pause-entry@3 cold-upstream@4", 14],
    "down+kill": ["platform-down@3 kill-entry@4 platform-up@9", 14],
    "cut+apply": ["cut-zone@3 apply:{changed}@5 heal-zone@10", 17],
    "out+join": ["zone-out@4 join-entry@4.2 zone-in@11", 16],
    "kill+kill": ["kill-entry@3 kill-entry@5", 13],
    "down+join": ["platform-down@3 join-entry@4 platform-up@11", 13],
}
COLUMNS = [
    ("opened", "flows_opened"), ("broken", "flows_broken"),
    ("gaveup", "flows_given_up_in_removed_zone"),
    ("wrong", "packets_to_wrong_service"), ("limit", "limit_exceeded"),
    ("drain", "new_work_after_drain"), ("late", "packets_to_removed_zone_late"),
    ("calls", "calls_sent"), ("answ", "calls_answered"),
    ("notrun", "calls_not_run"), ("unkn", "calls_unknown"),
    ("twice", "calls_run_twice"), ("nrran", "not_run_but_ran"),
    ("cross", "answers_crossed"), ("cfg_ms", "config_in_force_ms"),
    ("ctl_B/s", "control_bytes_per_entry_second"), ("p99", "call_p99_ms"),
]


def write_changed_configuration(build, deployment):
    """Writes a copy of the example in which the last upstream is draining."""
    source = os.path.join("examples", deployment + ".yaml")
    path = os.path.join(build, "changed-%s.yaml" % deployment)
    with open(source, encoding="utf-8") as original:
        content = original.read().rstrip("\n")
    with open(path, "w", encoding="utf-8") as out:
        out.write(content + "\n        state: draining\n")
    return path


def run_scenario(build, deployment, name, seed, args, networks):
    """Runs one scenario and returns its result."""
    events, seconds = SCENARIOS[name]
    zone = {"reykjavik": "hofud-a", "amman": "amman-a"}[deployment]
    changed = write_changed_configuration(build, deployment)
    events = events.format(changed=changed, zone=zone)
    network = networks.get()
    command = [os.path.join(build, "tarragonsill-lab"), "run", "--json",
               "--deployment", deployment, "--entries", str(args.entries),
               "--seconds", str(seconds), "--seed", str(seed),
               "--flows", str(args.flows), "--rate", str(args.rate),
               "--log-level", args.log_level, "--network", str(network)]
    if args.keep:
        directory = os.path.join(args.keep, "%s-%s-%d" % (deployment, name, seed))
        os.makedirs(directory, exist_ok=True)
        command += ["--directory", directory]
    for event in events.split():
        command += ["--event", event]
    process = subprocess.run(command, capture_output=True, text=True,
                             timeout=180, check=False)
    networks.put(network)
    lines = process.stdout.strip().split("\n")
    try:
        report = json.loads(lines[-1])
    except ValueError:
        report = {}
    return (deployment, name, seed, process.returncode, report, process.stderr)


def main():
    """Parses the arguments and runs the chosen scenarios."""
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--flows", type=int, default=20000)
    parser.add_argument("--rate", type=float, default=100)
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--only", default="")
    parser.add_argument("--deployments", default="reykjavik,amman")
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--log-level", default="warn")
    parser.add_argument("--keep", default="")
    parser.add_argument("--markdown", action="store_true")
    args = parser.parse_args()
    networks = Queue()
    for number, _ in zip(count(1), range(args.jobs)):
        networks.put(number)
    jobs = [(deployment, name, int(seed))
            for deployment in args.deployments.split(",")
            for name in SCENARIOS for seed in args.seeds.split(",")
            if not args.only or name in args.only.split(",")]
    separator = "|" if args.markdown else ""
    header = ["%-10s%s%-17s" % ("deployment", separator, "events")]
    header += ["%7s" % title for title, _ in COLUMNS]
    print(separator + (separator or " ").join(header) + separator)
    if separator:
        print("|---" * (len(COLUMNS) + 2) + "|")
    failed = False
    with ThreadPoolExecutor(args.jobs) as pool:
        results = pool.map(
            lambda job: run_scenario(args.build, *job, args, networks), jobs)
        for deployment, name, _, status, report, errors in results:
            cells = ["%-10s%s%-17s" % (deployment, separator, name)]
            cells += ["%7s" % (round(report[key]) if key in report else "-")
                      for _, key in COLUMNS]
            print(separator + (separator or " ").join(cells) + separator,
                  flush=True)
            if status != 0:
                failed = True
                print("  status %d %s" % (status, errors.strip()), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
