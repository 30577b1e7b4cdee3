#!/usr/bin/python3
"""Checks that `lost-worth.py` accounts for all that a day lacks."""
import json
import subprocess
import tempfile
import unittest
from pathlib import Path

TOOL = Path(__file__).resolve().parents[2] / "tools" / "lost-worth.py"

REPORT = {
    "G": 0.855,
    "parts": [["whole day", 0.5, 0.9], ["worst windows", 0.25, 0.8],
              ["nines", 0.25, 0.9]],
    "prices": [["machine-seconds", 100.0, 0.015], ["new kind", 3.0, 0.005]],
}


class LostWorthTest(unittest.TestCase):
    def run_tool(self, content):
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / "day.json"
            path.write_text(content, encoding="utf-8")
            return subprocess.run([str(TOOL), str(path)], capture_output=True,
                                  text=True, check=False)

    def test_the_causes_and_the_worth_sum_to_one(self):
        process = self.run_tool(json.dumps(REPORT))
        self.assertEqual(0, process.returncode)
        header, _, row = [line.strip("| ").split(" | ")
                          for line in process.stdout.strip().split("\n")]
        self.assertIn("other prices", header)
        self.assertAlmostEqual(1.0, sum(map(float, row[1:])), places=3)

    def test_a_file_that_is_no_report_is_named(self):
        process = self.run_tool("{}")
        self.assertEqual(2, process.returncode)
        self.assertIn("day.json: not a report", process.stderr)


if __name__ == "__main__":
    unittest.main()
