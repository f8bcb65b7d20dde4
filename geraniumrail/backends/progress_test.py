"""Guards the limits on streams: a slow first token or a slow reader is not a silent engine."""

import unittest

from geraniumrail.backends.progress import Phase, Progress

FIRST = Phase('first_token', 10)
FOLLOWING = Phase('between_tokens', 2)


class ManualLoop:
    """The part of an event loop that `Progress` uses."""

    def __init__(self):
        self.now = 0
        self.timers = []

    def time(self):
        return self.now

    def call_at(self, at, call):
        timer = ManualTimer(at, call)
        self.timers.append(timer)
        return timer

    def advance(self, seconds):
        end = self.now + seconds
        while due := [timer for timer in self.timers if timer.at <= end and timer.call]:
            first = min(due, key=lambda timer: timer.at)
            self.timers.remove(first)
            self.now = max(self.now, first.at)
            first.call()
        self.now = end


class ManualTimer:
    def __init__(self, at, call):
        self.at = at
        self.call = call

    def cancel(self):
        self.call = None


class ProgressTest(unittest.TestCase):
    def setUp(self):
        self.loop = ManualLoop()
        self.stalls = []

    def start(self, spent_s=0):
        return Progress(FIRST, FOLLOWING, spent_s=spent_s, stall=self.stalls.append, loop=self.loop)

    def chunk(self, progress, seconds=0, *, progressed=True):
        progress.pause()
        self.loop.advance(seconds)
        progress.resume(progressed=progressed)

    def test_first_token_may_take_longer_than_the_following(self):
        progress = self.start()
        self.loop.advance(9)
        self.chunk(progress)
        self.loop.advance(1.9)
        self.assertEqual(self.stalls, [])
        self.loop.advance(0.1)
        self.assertEqual(self.stalls, [FOLLOWING])

    def test_time_before_the_head_of_the_response_counts(self):
        self.start(spent_s=7)
        self.loop.advance(2.9)
        self.assertEqual(self.stalls, [])
        self.loop.advance(0.1)
        self.assertEqual(self.stalls, [FIRST])

    def test_slow_reader_is_not_taken_for_a_silent_engine(self):
        progress = self.start()
        self.chunk(progress, 50)
        self.chunk(progress, 50)
        self.loop.advance(1.9)
        self.assertEqual(self.stalls, [])
        self.loop.advance(0.1)
        self.assertEqual(self.stalls, [FOLLOWING])

    def test_chunk_without_a_token_is_no_progress(self):
        progress = self.start()
        self.loop.advance(5)
        self.chunk(progress, progressed=False)
        self.loop.advance(5)
        self.assertEqual(self.stalls, [FIRST])

    def test_nothing_stalls_after_the_end(self):
        progress = self.start()
        progress.stop()
        self.loop.advance(100)
        self.assertEqual(self.stalls, [])


if __name__ == '__main__':
    unittest.main()
