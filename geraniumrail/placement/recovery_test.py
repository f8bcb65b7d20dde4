"""Guards recovery: exports save the most tokens during the notice, and each stream has a step."""

import unittest

from geraniumrail.placement.recovery import recovery_order
from geraniumrail.placement.stream import Stream


def stream(name, kv_tokens, remaining=1000, cached=()):
    return Stream(
        stream=name,
        kv_tokens=kv_tokens,
        remaining_tokens=remaining,
        tokens_per_s=20,
        prefix_tokens_by_engine=tuple(cached),
    )


class RecoveryTest(unittest.TestCase):
    def test_every_stream_has_one_step(self):
        streams = [stream(f's{number}', 100 * number, remaining=number) for number in range(50)]
        steps = recovery_order(streams, 5, 10_000)
        self.assertEqual(sorted(step.stream for step in steps), sorted(s.stream for s in streams))

    def test_uncached_stream_is_exported_before_one_with_a_cached_prefix(self):
        streams = [stream('a', 8000, cached=[('e2', 7500)]), stream('b', 6000)]
        steps = recovery_order(streams, 1, 10_000)
        self.assertEqual([(s.stream, s.action) for s in steps], [('b', 'export'), ('a', 'resume')])
        self.assertEqual(steps[1].engine, 'e2')

    def test_stream_close_to_its_end_may_finish(self):
        steps = recovery_order([stream('a', 8000, remaining=10)], 5, 10_000)
        self.assertEqual(steps[0].action, 'finish')

    def test_streams_that_may_finish_follow_the_exports_longest_first(self):
        streams = [stream('a', 900, remaining=5), stream('b', 900, remaining=30), stream('c', 900)]
        steps = recovery_order(streams, 5, 10_000)
        self.assertEqual([step.stream for step in steps], ['c', 'b', 'a'])

    def test_no_notice_resumes_all(self):
        steps = recovery_order([stream('a', 100), stream('b', 100)], 0, 10_000)
        self.assertEqual({step.action for step in steps}, {'resume'})


if __name__ == '__main__':
    unittest.main()
