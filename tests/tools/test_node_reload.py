#!/usr/bin/env python3
"""Tests that a running VM takes over or refuses changed settings."""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest

SETTINGS = """nodeName = "vm-1"
zone = "a"
internalPortRange = [37720, 37735]
seeds = []
[zones]
a = "r"
[listen]
packetAddr = "127.77.9.1:38172"
ready = "127.77.9.1:38167"
[platform]
address = "127.77.9.2:38169"
"""
LONGEST_WAIT_S = 20


class NodeReload(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name, "node.toml")
        self.log = pathlib.Path(folder.name, "log")
        self.file.write_text(SETTINGS)
        with self.log.open("w") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "node", "--settings", self.file,
                 "--hedge-share", "0.05"], stdout=log)
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)

    def values(self, event, field):
        """The values of a field in the lines of an event, in their order."""
        lines = self.log.read_text().splitlines(keepends=True)
        parsed = [json.loads(line) for line in lines if line.endswith("\n")]
        return [line[field] for line in parsed if line["event"] == event]

    def wait_for(self, event, field, value):
        deadline = time.monotonic() + LONGEST_WAIT_S
        while value not in self.values(event, field)[-1:]:
            self.assertLess(time.monotonic(), deadline, f"no {event} {value}")
            time.sleep(0.05)

    def reload(self, text):
        # The file is also read without a signal, so it must never be partial.
        changed = self.file.with_suffix(".new")
        changed.write_text(SETTINGS + text)
        changed.rename(self.file)
        self.process.send_signal(signal.SIGHUP)

    def test_a_good_hedge_share_is_taken_over_and_a_bad_one_refused(self):
        self.wait_for("hedging", "max_share", 0.05)
        self.reload("[hedging]\nmaxShare = 0.1\n")
        self.wait_for("hedging", "max_share", 0.1)
        self.reload("[hedging]\nmaxShare = 0.5\n")
        self.wait_for("reloaded", "outcome", "refused, nothing changed")
        self.assertIn("node.toml:13: hedging.maxShare: a number from 0 to 0.2",
                      self.values("reloaded", "reason")[-1])
        self.assertEqual([0.05, 0.1], self.values("hedging", "max_share"))
        self.reload("")
        self.wait_for("hedging", "max_share", 0.05)
        self.assertEqual([0.05, 0.1, 0.05],
                         self.values("hedging", "max_share"))
        self.assertIsNone(self.process.poll())


if __name__ == "__main__":
    PROGRAM = sys.argv.pop()
    unittest.main()
