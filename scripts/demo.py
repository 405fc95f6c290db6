#!/usr/bin/env python3
"""Runs a deployment's declarations and workload on loopback.

  scripts/demo.py [--seconds N] [--rate_factor X] [DEPLOYMENT ...]

Starts a stand-in for the platform, one for each declared endpoint and three
instances of thornhollowd; publishes the declarations as a bundle; sends the
deployment's workload through the instances; stops them gracefully one after
another. Exits 1 when an answer was cut or mixed up or a stop was not graceful.
"""

import argparse
import json
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "build" / "bin"
DEPLOYMENTS = {
    "granite_relay": ["worcester-hall", "nashua-hall", "bangor-hall"],
    "ferreira_netos": ["sala-alcantara", "sala-loures", "sala-oeiras"],
}
READY_WITHIN_SECONDS = 30


class Site:
    """The processes of one deployment; each is ended by its own id."""

    def __init__(self, deployment, folder):
        self.deployment = deployment
        self.folder = pathlib.Path(folder)
        self.processes = []
        self.daemons = []
        self.engines = []

    def start(self, program, *arguments, errors=subprocess.DEVNULL):
        process = subprocess.Popen([str(BIN / program), *arguments],
                                   stdout=subprocess.PIPE, stderr=errors,
                                   text=True)
        self.processes.append(process)
        line = process.stdout.readline()
        if not line:
            raise RuntimeError(f"{program} {arguments} did not start")
        return process, json.loads(line)

    def start_endpoints(self):
        text = (ROOT / "examples" / self.deployment / "endpoints.yaml").read_text()
        for address in re.findall(r"address: (\S+)", text):
            if int(address.rsplit(":", 1)[1]) < 19300:
                self.start("fake-engine", f"--listen={address}", "--slots=16")
                self.engines.append(address)
            else:
                self.start("fake-service", f"--listen={address}")

    def publish(self):
        values = self.folder / "values"
        subprocess.run([str(BIN / "thornhollow"), "bundle",
                        str(ROOT / "examples" / self.deployment),
                        "--out", str(values)], check=True)
        return values

    def instance_list(self, settings):
        listed = []
        for path in settings:
            fields = dict(re.findall(r"^(\w+): (\S+)$", path.read_text(), re.M))
            listed.append({"name": fields["name"], "role": "router",
                           "domain": fields["domain"],
                           "address": fields["caller_address"],
                           "peer_address": fields["peer_address"],
                           "state": "live"})
        path = self.folder / "instances.json"
        path.write_text(json.dumps({"instances": listed}))
        return path

    def start_daemons(self):
        settings = [ROOT / "examples" / "settings" / f"{domain}.yaml"
                    for domain in DEPLOYMENTS[self.deployment]]
        platform = re.search(r"platform_address: (\S+)",
                             settings[0].read_text()).group(1)
        self.start("fake-platform", f"--listen={platform}",
                   f"--values_dir={self.publish()}",
                   f"--instances={self.instance_list(settings)}")
        for path in settings:
            log = open(self.folder / f"{path.stem}.log", "w")
            self.daemons.append(
                self.start("thornhollowd", f"--settings={path}", errors=log))
        for _, addresses in self.daemons:
            wait_ready(addresses["operators"])

    def stop_gracefully(self):
        """True when every instance stopped with nothing cut."""
        codes = []
        for process, _ in self.daemons:
            process.send_signal(signal.SIGTERM)
            codes.append(process.wait())
        return codes == [0] * len(self.daemons)

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
            process.stdout.close()


def wait_ready(address):
    end = time.monotonic() + READY_WITHIN_SECONDS
    while time.monotonic() < end:
        try:
            with urllib.request.urlopen(f"http://{address}/ready") as answer:
                if answer.status == 200:
                    return
        except OSError:
            time.sleep(0.05)
    raise RuntimeError(f"{address} is not ready")


def run(deployment, options):
    print(f"== {deployment}", flush=True)
    with tempfile.TemporaryDirectory() as folder:
        site = Site(deployment, folder)
        try:
            site.start_endpoints()
            site.start_daemons()
            targets = ",".join(a["listening"] for _, a in site.daemons)
            load = subprocess.run(
                [str(BIN / "thornhollow-load"),
                 f"--workload={ROOT}/examples/workloads/{deployment}.yaml",
                 f"--targets={targets}", f"--engines={','.join(site.engines)}",
                 f"--duration_s={options.seconds}",
                 f"--rate_factor={options.rate_factor}", "--strict"],
                stdout=subprocess.DEVNULL)
            graceful = site.stop_gracefully()
            print("every instance stopped gracefully" if graceful
                  else "an instance did not stop gracefully", flush=True)
            return load.returncode == 0 and graceful
        finally:
            site.end()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=0,
                        help="length of each run; 0 for the workload's own")
    parser.add_argument("--rate_factor", type=float, default=1)
    parser.add_argument("deployments", nargs="*",
                        default=list(DEPLOYMENTS))
    options = parser.parse_args()
    good = [run(each, options) for each in options.deployments]
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main())
