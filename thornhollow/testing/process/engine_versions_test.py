"""Own interface: a stream that its engine breaks off goes on only at an engine of
the same software version."""

import unittest

import harness

TOKENS = 12
REQUESTS = 24


class EngineVersions(harness.SiteTest):

    def setUp(self):
        super().setUp()
        self.engines = [
            self.engine(f"e{number}", f"--software_version=v{version}")
            for number, version in enumerate([1, 2, 2])]

    def versions(self, answer):
        return {token.split("@")[-1] for token in answer.tokens}

    def test_stream_broken_off_has_tokens_of_one_version(self):
        daemon = self.site()
        self.engines[0].mode(crash_after_tokens=3)
        answers = [harness.chat(daemon.address, "notes", tokens=TOKENS)
                   for _ in range(REQUESTS)]
        for answer in answers:
            self.assert_sound(answer)
            self.assertLessEqual(len(self.versions(answer)), 1, answer.tokens)
        self.assertTrue(any(answer.end == "done" and answer.tokens
                            for answer in answers))
        resumed = sum(engine.runs()["totals"]["resumed"]
                      for engine in self.engines)
        self.assertGreater(resumed, 0)


if __name__ == "__main__":
    unittest.main()
