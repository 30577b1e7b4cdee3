#!/usr/bin/python3
"""Checks which figures of a report `plot-control.sh` passes to gnuplot."""
import os
import subprocess
import tempfile
import unittest
from pathlib import Path

SCRIPT = Path(__file__).resolve().parents[2] / "tools" / "plot-control.sh"

REPORT = """\
ok      7 entry VMs that did not start to serve              0 groups (at most 0)
ok      7 entry VMs, steady, 1 % loss                        1659 control bytes/s (at most 3072)
ok      7 entry VMs, a death is known everywhere             2.5 seconds (at most 10)
ok      20 entry VMs, steady, 1 % loss                       1702 control bytes/s (at most 3072)
ok      20 entry VMs, a death is known everywhere            3.5 seconds (at most 10)
"""

# Stands in for gnuplot: prints the data file that the commands plot.
GNUPLOT = """\
#!/bin/sh
sed -n 's/^plot "\\([^"]*\\)".*/\\1/p' | xargs cat > "$PLOTTED"
"""


class PlotControlTest(unittest.TestCase):
    def test_plots_bytes_and_seconds_by_the_number_of_vms(self):
        with tempfile.TemporaryDirectory() as name:
            directory = Path(name)
            stub = directory / "gnuplot"
            stub.write_text(GNUPLOT, encoding="utf-8")
            stub.chmod(0o755)
            report = directory / "report.md"
            report.write_text(REPORT, encoding="utf-8")
            plotted = directory / "plotted"
            environment = dict(os.environ, PLOTTED=str(plotted),
                               PATH="%s:%s" % (name, os.environ["PATH"]))
            subprocess.run([str(SCRIPT), str(report), str(directory / "x.png")],
                           check=True, env=environment)
            self.assertEqual(["7 1659 2.5", "20 1702 3.5"],
                             plotted.read_text(encoding="utf-8").split("\n")[:-1])


if __name__ == "__main__":
    unittest.main()
