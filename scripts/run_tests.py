"""Runs the unit tests, passes over the entries of KNOWN-RED.txt and prints the totals."""

import pathlib
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
ADAPTER = ROOT / 'platform' / 'adapter'
sys.path.insert(0, str(ROOT))


def known_red() -> frozenset[str]:
    """Reads the test ids of KNOWN-RED.txt: the first word of each line that starts with `test:`."""
    path = ROOT / 'KNOWN-RED.txt'
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    return frozenset(line.split()[1] for line in lines if line.startswith('test:'))


def flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Lists the test cases of a nested suite."""
    nested = (flatten(test) if isinstance(test, unittest.TestSuite) else [test] for test in suite)
    return [test for tests in nested for test in tests]


class TimedResult(unittest.TextTestResult):
    """Prints the tests that take longer than five seconds."""

    def startTest(self, test: unittest.TestCase) -> None:
        self.started = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:
        super().stopTest(test)
        elapsed = time.monotonic() - self.started
        if elapsed > 5:
            self.stream.writeln(f'slow: {test.id()} {elapsed:.1f} s')


def main() -> int:
    """Runs the tests whose id contains one of the arguments, or all."""
    red = known_red()
    found = flatten(
        unittest.TestSuite(
            unittest.TestLoader().discover(str(folder), '*_test.py', str(top))
            for folder, top in ((ROOT / 'geraniumrail', ROOT), (ADAPTER, ADAPTER.parent))
        )
    )
    chosen = [
        test
        for test in found
        if not sys.argv[1:] or any(word in test.id() for word in sys.argv[1:])
    ]
    for test in chosen:
        if test.id() in red:
            print('known red, passed over:', test.id())
    suite = unittest.TestSuite(test for test in chosen if test.id() not in red)
    result = unittest.TextTestRunner(resultclass=TimedResult, verbosity=1).run(suite)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    sys.stderr.flush()
    print(f'{result.testsRun - failed - len(result.skipped)} passed, {failed} failed', flush=True)
    return 1 if failed or not result.testsRun else 0


if __name__ == '__main__':
    sys.exit(main())
