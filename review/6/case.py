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
FRAMING = {"framing": "open", "events": EVENTS, "gap": GAP_S}


def replace(site, leaving, reports_draining):
    """One of three engines is replaced: the new one starts first."""
    site.start_engines(1, "dispatch", **FRAMING)
    if reports_draining:
        leaving.drain()
        site.record("an engine reports draining", engine=leaving.id)
    else:
        leaving.leave_list()
        site.record("an engine's entry is removed", engine=leaving.id)
    time.sleep(DRAIN_S + LITTLE_LONGER_S)
    leaving.signal(signal.SIGTERM)
    leaving.process.wait()
    site.record("that engine exits", engine=leaving.id)
    if reports_draining:
        # "It is removed when the engine has left".
        time.sleep(0.3)
        leaving.leave_list()


def play(site, reports_draining):
    """Returns the number of streams that ended as complete and are not."""
    asked = {}
    for number in range(STREAMS):
        name = deployment.new_id()
        path = ("/briefs/x", "/resumable/x")[number % 2]
        asked[name] = (path, deployment.Asked(site, number % 2, path, name,
                                              stream=True))
    site.wait_until(lambda: all(each.parts >= 3 for _, each in asked.values()),
                    "each stream has begun")
    runs = {event["id"]: event["engine"] for event in site.runs()
            if event["event"] == "runs"}
    leaving = next(engine for engine in site.engines
                   if engine.id == runs[next(iter(asked))])
    if deployment.trouble():
        replace(site, leaving, reports_draining)
    broken = 0
    for name, (path, each) in asked.items():
        answer = each.result()
        pieces = answer.body.count(b"\n\n")
        short = answer.complete and pieces < EVENTS
        broken += short
        site.record("judged", id=name, path=path, pieces=pieces, of=EVENTS,
                    ended_as_complete=answer.complete, end=answer.end,
                    rule_broken=bool(short))
    return broken


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
        site.start_engines(3, "dispatch", **FRAMING)
        site.start_daemons(2)
        drained = play(site, reports_draining=True)
        removed = play(site, reports_draining=False)
        site.record_runs()
        time.sleep(1)
        for daemon in site.daemons:
            for line in daemon.log_lines("request_done"):
                site.record("a daemon's log", daemon=daemon.number,
                            **{name: line.get(name) for name in
                               ("request", "outcome", "endpoint", "framing",
                                "ended_by", "open_end")})
        site.record("verdict", streams_each=STREAMS,
                    broken_where_it_reports_draining=drained,
                    broken_where_its_entry_is_removed=removed)
        sys.exit(1 if drained + removed else 0)


if __name__ == "__main__":
    main()
