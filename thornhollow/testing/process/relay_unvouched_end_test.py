"""Answers with neither a length nor chunks whose engine's process ends under
them, in whatever state its entry is: no part of one may reach its caller as
complete. Whole ones of engines that leave in order must reach theirs."""

import signal
import unittest

import harness
import open_ended_site
import relay_site
from open_ended_site import (Answer, LOOK_UP, ORDER, PartCount, RESUMABLE,
                             STREAM)

PATHS = (STREAM, RESUMABLE, LOOK_UP, ORDER)
EVENTS = 7
WHOLE_STREAM = relay_site.stream_text(EVENTS)
GAP_S = 0.3
# Between the halves of a body: longer than an engine takes to leave.
BODY_GAP_S = 1.8


class EndingEngines(open_ended_site.OpenEndedTest):

    # Whether the engines' entries state when their processes started.
    states_start = True

    def begin_slowly(self, instances=2):
        self.site(instances=instances)
        for engine in self.engines:
            engine.events = EVENTS
            engine.event_gap_s = GAP_S
            engine.body_gap_s = BODY_GAP_S

    def engine(self, name, **options):
        made = super().engine(name, **options)
        if not self.states_start:
            made.born = 0
            self.store.put(f"servers/{name}", made.entry())
        return made

    def asked(self, daemon):
        """An answer of each kind in progress, once each engine that runs one
        has sent a part of it."""
        parts = {path: PartCount() for path in PATHS}
        answers = {path: harness.Background(
            Answer, daemon, path,
            self.headers(self.name(path), path in (STREAM, RESUMABLE)), "1.1",
            parts[path]) for path in PATHS}
        harness.wait_until(
            lambda: all(parts[path].count >= 2 for path in (STREAM, RESUMABLE))
            and all(self.runs(self.name(path)) for path in PATHS),
            "all are in progress")
        return answers

    @staticmethod
    def name(path):
        return "r" + path.replace("/", "-")

    def leave(self, engine, how):
        if how == "draining":
            self.store.put(f"servers/{engine.name}",
                           engine.entry(state="draining"))
            event = "endpoint_draining"
        else:
            self.store.delete(f"servers/{engine.name}")
            event = "endpoint_gone"
        for daemon in self.fleet:
            harness.wait_until(
                lambda: any(line["endpoint"] == engine.name
                            for line in daemon.events(event)),
                f"{daemon.address} knows that it leaves")

    def end(self, engine):
        """Its process ends: connections are closed in order, and its address
        refuses new ones."""
        for daemon in self.fleet:
            if daemon.paths[engine.name].server.socket.fileno() >= 0:
                daemon.paths[engine.name].server.end()

    def check(self, path, answer, others_serve=True):
        with self.subTest(path):
            whole = (answer.body == WHOLE_STREAM if path in (STREAM, RESUMABLE)
                     else answer.body.startswith(b"body of i-")
                     and len(answer.body) == len(b"body of i-0"))
            part_is_taken = (answer.complete and answer.status == 200
                             and not whole)
            self.assertFalse(part_is_taken, answer.body)
            if others_serve and path in (RESUMABLE, LOOK_UP):
                # Another engine makes it whole.
                self.assertTrue(answer.complete and whole, answer.body)

    def ends_after(self, *signs, way=0):
        """Each engine but one leaves as `signs` say, and ends."""
        self.begin_slowly()
        if way:
            self.cut(self.fleet[:1], "reset")
        answers = self.asked(self.fleet[0])
        for engine in self.engines[:2]:
            for how in signs:
                self.leave(engine, how)
        for engine in self.engines[:2]:
            self.end(engine)
        for path, each in answers.items():
            self.check(path, each.result())

    def ends_unseen(self, then=lambda engine: None, others_serve=True):
        """Each engine but one crashes and is removed while the instance stands
        still; `then` follows for each before the instance goes on."""
        self.begin_slowly()
        answers = self.asked(self.fleet[0])
        self.fleet[0].signal(signal.SIGSTOP)
        try:
            for engine in self.engines[:2]:
                self.end(engine)
                self.store.delete(f"servers/{engine.name}")
                then(engine)
        finally:
            self.fleet[0].signal(signal.SIGCONT)
        for path, each in answers.items():
            self.check(path, each.result(), others_serve)

    def leaves_in_order(self, *signs):
        """Engines that leave go on with what they have: each answer comes
        whole, as its process lives on after it."""
        self.begin_slowly()
        answers = self.asked(self.fleet[0])
        for engine in self.engines:
            for how in signs:
                self.leave(engine, how)
        for path, each in answers.items():
            answer = each.result()
            with self.subTest(path):
                self.assertTrue(answer.complete)
                self.assertEqual(answer.status, 200)
                self.assertTrue(answer.body == WHOLE_STREAM
                                or answer.body.startswith(b"body of i-"))
        lines = harness.wait_until(
            lambda: len(done := self.fleet[0].events("request_done"))
            == len(PATHS) and done, "all ends are logged")
        self.assertLessEqual({line["open_end"] for line in lines},
                             {"process_answered", "open_connection"})


class UnstatedStart(EndingEngines):
    """Entries don't tell when their processes started, as each has a name of its
    own."""

    states_start = False

    def test_engine_that_is_draining_ends(self):
        self.ends_after("draining")

    def test_listed_engine_ends(self):
        self.ends_after()

    def test_whole_answers_of_draining_engines_come_whole(self):
        self.leaves_in_order("draining")

    def test_address_of_another_engine_does_not_vouch(self):
        # The engine ends, and one with another name is back at its address
        # before the end of the answer is seen.
        def come_back(engine):
            path = self.fleet[0].paths[engine.name]
            engine.name += "-next"
            engine.process_born = 2
            path.heal()

        # It declines, and the route allows two attempts.
        self.ends_unseen(come_back, others_serve=False)


class StatedStart(UnstatedStart):

    states_start = True

    def test_engine_whose_entry_is_removed_ends(self):
        self.ends_after("removed")

    def test_engine_that_was_draining_and_is_removed_ends(self):
        self.ends_after("draining", "removed")

    def test_draining_engine_of_another_instance_ends(self):
        self.ends_after("draining", way=1)

    def test_removed_engine_of_another_instance_ends(self):
        self.ends_after("removed", way=1)

    def test_engine_crashes_and_is_removed_while_the_instance_stands_still(self):
        self.ends_unseen()

    def test_whole_answers_of_removed_engines_come_whole(self):
        self.leaves_in_order("removed")

    def ends_after_its_last_event(self, path, name):
        self.begin_slowly()
        for engine in self.engines:
            # Also after the last event, before its connection is closed.
            engine.event_gap_s = 1.0
        parts = PartCount()
        asked = harness.Background(Answer, self.fleet[0], path,
                                   self.headers(name, True), "1.1", parts)
        harness.wait_until(lambda: parts.count == EVENTS, "all events came")
        [runs] = [engine for engine in self.engines if name in engine.ran]
        self.end(runs)
        answer = asked.result()
        self.assertEqual(answer.body, WHOLE_STREAM)
        return answer

    def test_engine_ends_right_after_a_whole_resumable_stream(self):
        # Another engine, asked to go on, has nothing more to send.
        answer = self.ends_after_its_last_event(RESUMABLE, "a1")
        self.assertTrue(answer.complete)

    def test_engine_ends_right_after_a_whole_stream(self):
        # Nobody can tell that from an engine that ended under the stream.
        answer = self.ends_after_its_last_event(STREAM, "a2")
        self.assertFalse(answer.complete)

    def test_engine_that_never_tells_does_not_vouch(self):
        # It stands still after a part: only the listed process's own word, and
        # not its open address, tells that the part is the whole.
        self.site("between")
        for engine in self.engines:
            engine.report_after_s = 10
        answer = Answer(self.fleet[0], STREAM, self.headers("s1", True), "1.1")
        self.assertFalse(answer.complete, answer.body)
        self.assertEqual(self.ends(self.fleet[0]), ("reset", "no_answer"))


if __name__ == "__main__":
    unittest.main()
