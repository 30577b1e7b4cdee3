#!/usr/bin/python3
"""Tests of tools/experiment.py."""
import argparse
import os
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "tools"))
import experiment  # noqa: E402


def runs(variant, values, day="calm"):
    """Returns one run for each value, with seeds from 1."""
    return [experiment.Row("site", day, seed, variant, value, 0)
            for seed, value in enumerate(values, start=1)]


class ParsingTest(unittest.TestCase):
    """Parsing of command line arguments."""

    def test_variant_lists_mechanisms_or_a_revision(self):
        self.assertEqual([], experiment.Variant.parse("all=").without)
        both = experiment.Variant.parse("x=answer_pace,zone_first")
        self.assertEqual(["answer_pace", "zone_first"], both.without)
        old = experiment.Variant.parse("old=@abc123:answer_pace")
        self.assertEqual(("abc123", ["answer_pace"]),
                         (old.revision, old.without))

    def test_variant_without_a_name_is_rejected(self):
        for text in ("answer_pace", "=answer_pace"):
            with self.assertRaises(argparse.ArgumentTypeError):
                experiment.Variant.parse(text)

    def test_seeds_are_ranges_or_lists(self):
        self.assertEqual([1, 2, 3, 9], experiment.parse_seeds("1-3,9"))
        with self.assertRaises(argparse.ArgumentTypeError):
            experiment.parse_seeds("1-x")


class ComparisonTest(unittest.TestCase):
    """Comparison of variants by pairs of runs."""

    def test_small_change_is_clear_although_seeds_differ_more(self):
        base = [0.90, 0.80, 0.85, 0.95, 0.70]
        rows = runs("all", base) + runs("new", [v - 0.01 for v in base])
        comparison = experiment.compare(rows)[0]
        self.assertAlmostEqual(-0.01, comparison.mean)
        self.assertTrue(comparison.is_clear())

    def test_differences_of_both_signs_are_not_clear(self):
        rows = runs("all", [0.5, 0.5, 0.5]) + runs("new", [0.52, 0.47, 0.51])
        comparison = experiment.compare(rows)[0]
        self.assertFalse(comparison.is_clear())
        self.assertAlmostEqual(-0.03, comparison.largest)
        self.assertEqual("calm seed 2", comparison.largest_pair)

    def test_run_without_its_pair_is_ignored(self):
        rows = runs("all", [0.5, 0.5]) + runs("new", [0.6, 0.6, 0.1])
        self.assertEqual(2, experiment.compare(rows)[0].pairs)

    def test_days_are_compared_separately(self):
        rows = (runs("all", [0.5], "calm") + runs("all", [0.5], "storm") +
                runs("new", [0.5], "calm") + runs("new", [0.3], "storm"))
        self.assertAlmostEqual(0.0, experiment.compare(rows, "calm")[0].mean)
        self.assertAlmostEqual(-0.2, experiment.compare(rows, "storm")[0].mean)


class OutputTest(unittest.TestCase):
    """Writing of CSV files and plots."""

    def test_written_runs_are_read_back(self):
        rows = runs("all", [0.5, 0.25]) + runs("new", [0.75, 0.125])
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "runs.csv")
            experiment.write_csv(rows, path)
            self.assertEqual(rows, experiment.read_csv(path))

    def test_differences_are_plotted(self):
        rows = runs("all", [0.5, 0.25]) + runs("new", [0.75, 0.125])
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "runs.png")
            experiment.plot(rows, path)
            self.assertGreater(os.path.getsize(path), 1000)


if __name__ == "__main__":
    unittest.main()
