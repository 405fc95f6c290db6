"""The load tool against the stand-ins alone: what it must notice."""

import json
import pathlib
import tempfile
import unittest

import harness

WORKLOAD = """
seed: 3
duration_s: {length}
classes:
  - name: notes
    token: t
    model: m
    rate: 50
    max_tokens: 6
    prompt_words: 20
    first_token_ms: 60000
"""


class LoadTool(harness.ProcessTest):

    def run_load(self, targets, *arguments, length=0.5):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "workload.yaml")
            path.write_text(WORKLOAD.format(length=length))
            tool = self.start("thornhollow-load", f"--workload={path}",
                              f"--targets={','.join(targets)}", *arguments,
                              ready=False)
            output = tool.process.stdout.read()
            code = tool.wait()
        self.assertIn(code, (0, 1), tool.log())
        return code, json.loads(output)

    def start_engine(self, **faults):
        engine = self.start("fake-engine", "--step_ms=1", "--slots=64")
        engine.mode(**faults)
        return engine

    def test_engine_in_order_all_complete_nothing_wasted(self):
        engine = self.start_engine()
        code, report = self.run_load([engine.address], "--strict",
                                     f"--engines={engine.address}")
        (only,) = report["classes"]
        self.assertEqual(code, 0)
        self.assertGreater(only["sent"], 0)
        self.assertEqual(only["completed"], only["sent"])
        self.assertEqual(only["attained"], only["sent"])
        self.assertEqual(report["tokens_wasted"], 0)
        self.assertEqual(report["tokens_received"],
                         engine.runs()["totals"]["tokens"])

    def test_faulty_engine_each_answer_is_classified(self):
        for fault, outcome in ((dict(cut_after_tokens=0), "silent_cut"),
                               (dict(crash_after_run=True), "silent_cut"),
                               (dict(wrong_id_events=True), "mismatch")):
            with self.subTest(fault=fault):
                engine = self.start_engine(**fault)
                code, report = self.run_load([engine.address], "--strict")
                (only,) = report["classes"]
                self.assertEqual(code, 1)
                self.assertEqual(only["outcomes"][outcome], only["sent"])

    def test_silent_engine_no_answer(self):
        engine = self.start_engine(freeze=True)
        _, report = self.run_load([engine.address], "--silence_limit_s=0.2",
                                  length=0.2)
        (only,) = report["classes"]
        self.assertEqual(only["outcomes"]["no_answer"], only["sent"])

    def test_first_target_refuses_next_one_serves(self):
        closed, open_ = self.start_engine(refuse=True), self.start_engine()
        _, report = self.run_load([closed.address, open_.address])
        (only,) = report["classes"]
        self.assertEqual(only["completed"], only["sent"])


if __name__ == "__main__":
    unittest.main()
