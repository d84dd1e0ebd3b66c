"""One embertray process: starts it, sends it signals and reads its log."""

import json
import sys
from pathlib import Path

import anyio
import psutil

ROOT = Path(__file__).resolve().parents[3]
START_TIMEOUT_S = 30  # until the process listens
END_TIMEOUT_S = 10  # after SIGTERM
POLL_S = 0.02  # between two reads of the log


def embertray_command(*arguments, level="info"):
    """Returns the command line of an embertray sub-command that logs as JSON."""
    return [sys.executable, "-m", "embertray", "--log-format", "json", "--log-level", level, *arguments]


class Program:
    """A process that runs `embertray serve`, or another command.

    Args:
        log: path of the log, to which the output is appended.
        path: path of the site description.
        name: name of the controller.
        seed: seed of the controller.
        command: command line to run instead.
    """

    def __init__(self, log, path, name, seed=1, command=None):
        self.name = name
        self.log = Path(log)
        self.log_offset = self.log.stat().st_size if self.log.exists() else 0
        command = command or embertray_command("serve", str(path), "--controller", name, "--seed", str(seed))
        with open(self.log, "ab") as out:
            self.process = psutil.Popen(command, cwd=ROOT, stdout=out, stderr=out)

    def log_rows(self):
        """Returns the rows that this process has logged so far, as dicts."""
        with open(self.log, "rb") as log:
            log.seek(self.log_offset)
            lines = log.read().split(b"\n")[:-1]
        return [json.loads(line) for line in lines if line.startswith(b"{")]

    async def wait_listening(self):
        """Waits until the process listens; returns its log row with the addresses.

        Raises:
            RuntimeError: the process ends, or does not listen in time.
        """
        with anyio.move_on_after(START_TIMEOUT_S):
            while self.process.poll() is None:
                if found := next((row for row in self.log_rows() if row["event"] == "listening"), None):
                    return found
                await anyio.sleep(POLL_S)
        raise RuntimeError(f"{self.name} does not listen: {self.log.read_text()[-400:]}")

    @property
    def has_ended(self):
        """Whether the process has ended."""
        return self.process.poll() is not None

    def pause(self):
        """Suspends the process (SIGSTOP) until `resume`."""
        self.process.suspend()

    def resume(self):
        """Resumes the process (SIGCONT)."""
        self.process.resume()

    def kill(self):
        """Kills the process (SIGKILL)."""
        self.process.kill()
        self.process.wait(END_TIMEOUT_S)

    def terminate(self):
        """Sends SIGTERM, if the process has not ended; a suspended process is resumed first."""
        if not self.has_ended:
            self.process.resume()
            self.process.terminate()

    def wait_ended(self):
        """Waits until the process has ended, and kills it after END_TIMEOUT_S; returns its exit code."""
        try:
            return self.process.wait(END_TIMEOUT_S)
        except psutil.TimeoutExpired:
            self.process.kill()
            return self.process.wait()

    def resource_usage(self):
        """Returns (CPU time in s, resident memory in bytes); None once the process has ended."""
        try:
            with self.process.oneshot():
                times = self.process.cpu_times()
                return times.user + times.system, self.process.memory_info().rss
        except psutil.Error:
            return None
