"""Guards the failure alarm: few failures over all entries raise it, unless both versions fail."""

import unittest

from geraniumrail.rollout.failure_alarm import FailureAlarm
from geraniumrail.rollout.outcome_stat import OutcomeStat


def stat(version, requests, errors, second=1):
    return OutcomeStat(
        service='s',
        version=version,
        route='chat',
        organisation='org',
        second=second,
        requests=requests,
        errors=errors,
    )


class FailureAlarmTest(unittest.TestCase):
    def setUp(self):
        self.alarm = FailureAlarm('v1', 'v2')

    def test_one_failure_in_each_of_two_entries_raises_the_alarm_once(self):
        self.alarm.observe(stat('v1', 500, 1), 1)
        self.alarm.observe(stat('v2', 2, 1), 1)
        self.assertFalse(self.alarm.reset_if_raised())
        self.alarm.observe(stat('v2', 2, 1), 1)
        self.assertTrue(self.alarm.reset_if_raised())
        self.assertFalse(self.alarm.reset_if_raised())

    def test_failures_of_both_versions_do_not_raise_the_alarm(self):
        for second in range(60):
            self.alarm.observe(stat('v1', 10, 3, second), second)
            self.alarm.observe(stat('v2', 3, 1, second), second)
        self.assertFalse(self.alarm.reset_if_raised())


if __name__ == '__main__':
    unittest.main()
