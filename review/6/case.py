"""An engine leaves as planned while it still works on a stream whose answer
ends with its channel; see claim.txt."""

import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import deployment  # noqa: E402

EVENTS = 30
GAP_S = 0.3
DRAIN_S = deployment.BOUNDS["drain_timeout_ms"] / 1000
# "a little longer (at times many seconds), and then exits".
LITTLE_LONGER_S = 1.0
STREAMS = 4


def main():
    with deployment.Site(FOLDER / "record.txt") as site:
        site.configure(
            [deployment.route("briefs", "/briefs/", "streaming", "dispatch",
                              gap_target_ms=800),
             deployment.route("resumable", "/resumable/", "streaming",
                              "dispatch", gap_target_ms=800,
                              stream_resumption=True)],
            [{"name": "dispatch", "connection_limit": 360,
              "engine": {"slots": 64, "kv_cache_tokens": 600000,
                         "stride": 5}}])
        site.start_engines(3, "dispatch", framing="open", events=EVENTS,
                           gap=GAP_S)
        site.start_daemons(2)
        asked = {}
        for number in range(STREAMS):
            name = deployment.new_id()
            path = ("/briefs/x", "/resumable/x")[number % 2]
            asked[name] = (path, deployment.Asked(
                site, number % 2, path, name, stream=True))
        site.wait_until(lambda: all(each.parts >= 3
                                    for _, each in asked.values()),
                        "each stream has begun")
        runs = {event["id"]: event["engine"] for event in site.runs()
                if event["event"] == "runs"}
        if deployment.trouble():
            # One of three engines is replaced: the new one starts first.
            leaving = next(engine for engine in site.engines
                           if engine.id == runs[next(iter(asked))])
            site.start_engines(1, "dispatch", framing="open", events=EVENTS,
                               gap=GAP_S)
            leaving.drain()
            site.record("an engine reports draining", engine=leaving.id)
            time.sleep(DRAIN_S + LITTLE_LONGER_S)
            leaving.signal(signal.SIGTERM)
            leaving.process.wait()
            site.record("that engine exits", engine=leaving.id)
            leaving.leave_list()
        broken = 0
        for name, (path, each) in asked.items():
            answer = each.result()
            pieces = answer.body.count(b"\n\n")
            short = answer.complete and pieces < EVENTS
            broken += short
            site.record("judged", id=name, path=path, pieces=pieces,
                        of=EVENTS, ended_as_complete=answer.complete,
                        rule_broken=bool(short))
        time.sleep(1)
        for daemon in site.daemons:
            for line in daemon.log_lines("request_done"):
                site.record("a daemon's log", daemon=daemon.number,
                            **{name: line.get(name) for name in
                               ("request", "outcome", "endpoint", "framing",
                                "ended_by", "open_end")})
        site.record("verdict", broken=broken, streams=STREAMS)
        sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
