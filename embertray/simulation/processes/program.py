"""One true process of the program: started, stopped and gone on with, ended, by its id; its log is kept."""

import json
import sys
from pathlib import Path

import anyio
import psutil

ROOT = Path(__file__).resolve().parents[3]
START_TIMEOUT_S = 30  # until it listens
END_TIMEOUT_S = 10  # that an asked end may take
POLL_S = 0.02  # between two looks at its log


def embertray_command(*arguments, level="info"):
    """The command line of a sub-command that logs as JSON."""
    return [sys.executable, "-m", "embertray", "--log-format", "json", "--log-level", level, *arguments]


class Program:
    """`embertray serve` of one description, or another `command`. `log`: a file that is added to."""

    def __init__(self, log, path, name, seed=1, command=None):
        self.name = name
        self.log = Path(log)
        self.log_offset = self.log.stat().st_size if self.log.exists() else 0
        command = command or embertray_command("serve", str(path), "--controller", name, "--seed", str(seed))
        with open(self.log, "ab") as out:
            self.process = psutil.Popen(command, cwd=ROOT, stdout=out, stderr=out)

    def log_rows(self):
        """What this life logged so far."""
        with open(self.log, "rb") as log:
            log.seek(self.log_offset)
            lines = log.read().split(b"\n")[:-1]
        return [json.loads(line) for line in lines if line.startswith(b"{")]

    async def wait_listening(self):
        """What it says of its addresses once it listens.

        Raises:
            RuntimeError: it ends, or does not listen in time.
        """
        with anyio.move_on_after(START_TIMEOUT_S):
            while self.process.poll() is None:
                if found := next((row for row in self.log_rows() if row["event"] == "listening"), None):
                    return found
                await anyio.sleep(POLL_S)
        raise RuntimeError(f"{self.name} does not listen: {self.log.read_text()[-400:]}")

    @property
    def has_ended(self):
        """Whether it has ended."""
        return self.process.poll() is not None

    def pause(self):
        """It stands still (SIGSTOP) until `go_on`."""
        self.process.suspend()

    def resume(self):
        """It goes on (SIGCONT) as if no time had passed."""
        self.process.resume()

    def kill(self):
        """It ends at once (SIGKILL)."""
        self.process.kill()
        self.process.wait(END_TIMEOUT_S)

    def terminate(self):
        """It is asked to end (SIGTERM), if it has not."""
        if not self.has_ended:
            self.process.resume()
            self.process.terminate()

    def wait_ended(self):
        """Its exit code, once it has ended; it is killed if it does not end when asked."""
        try:
            return self.process.wait(END_TIMEOUT_S)
        except psutil.TimeoutExpired:
            self.process.kill()
            return self.process.wait()

    def resource_usage(self):
        """(s of CPU, bytes of memory) so far; None once it has ended."""
        try:
            with self.process.oneshot():
                times = self.process.cpu_times()
                return times.user + times.system, self.process.memory_info().rss
        except psutil.Error:
            return None
