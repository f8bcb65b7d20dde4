"""Guards callers from a slow version in a move through processes; `scripts/moves` runs the rest."""

import asyncio
import pathlib
import tempfile
import unittest

from geraniumrail.testing.moves import CASES, run_case


class MovesTest(unittest.IsolatedAsyncioTestCase):
    async def test_slow_version_is_taken_back(self):
        """Only the canary share meets it, it is taken back everywhere, and no text is lost."""
        asyncio.get_running_loop().set_debug(False)
        case = next(case for case in CASES if case.name == 'slow')
        with tempfile.TemporaryDirectory(prefix='geraniumrail-moves-') as folder:
            report = await run_case(pathlib.Path(folder), case)
        self.assertEqual(report.problems, [], str(report))
        self.assertGreater(report.unproven[0], 0)


if __name__ == '__main__':
    unittest.main()
