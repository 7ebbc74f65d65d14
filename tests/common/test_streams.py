"""Logging to a reader that is slow, has stopped or has closed."""

import fcntl
from json import loads
import os

import pytest

from gypsummount._common.streams import LossyStream

PIPE_BYTES = 4096
LINE = "x" * 100 + "\n"


class Pipe:
    """A small pipe and the stream that writes to it."""

    def __init__(self):
        self.reading, self.writing = os.pipe()
        fcntl.fcntl(self.writing, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        os.set_blocking(self.reading, False)
        self.stream = LossyStream(self.writing)

    def read(self):
        """Return the text in the pipe; empty if there is none."""
        try:
            return os.read(self.reading, 1 << 20).decode()
        except BlockingIOError:
            return ""

    def close_reader(self):
        os.close(self.reading)
        self.reading = None

    def close(self):
        os.close(self.writing)
        if self.reading is not None:
            os.close(self.reading)


@pytest.fixture
def pipe():
    small_pipe = Pipe()
    yield small_pipe
    small_pipe.close()


class TestSlowReader:
    def test_lines_are_lost_and_counted_when_the_pipe_is_full(self, pipe):
        for _ in range(1000):
            pipe.stream.write(LINE)
        assert pipe.stream.lost >= 1000 - 2 * PIPE_BYTES / len(LINE)

    def test_loss_is_reported_when_the_reader_resumes(self, pipe):
        for _ in range(100):
            pipe.stream.write(LINE)
        lost = pipe.stream.lost
        pipe.read()
        pipe.stream.write("after\n")
        lines = pipe.read().splitlines()
        messages = [loads(line) for line in lines if line.startswith("{")]
        assert [message["lost"] for message in messages] == [lost]
        assert lines[-1] == "after"

    def test_no_line_is_truncated(self, pipe):
        text = ""
        for _ in range(20):
            for _ in range(30):
                pipe.stream.write(LINE)
            text += pipe.read()
        pipe.stream.flush()
        text += pipe.read()
        complete = [line for line in text.splitlines() if line.startswith("x")]
        assert {len(line) for line in complete} == {len(LINE) - 1}


class TestClosedReader:
    def test_closed_reader_does_not_stop_the_writer(self, pipe):
        pipe.close_reader()
        for _ in range(10):
            pipe.stream.write(LINE)
        assert pipe.stream.lost == 9
