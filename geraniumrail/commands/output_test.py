"""Guards what people and programs read from a command."""

import io
import json
import unittest

from geraniumrail.commands.exit_codes import ExitCode, exit_code_of
from geraniumrail.commands.output import Output
from geraniumrail.errors import operator as errors
from geraniumrail.errors.config import ConfigError
from geraniumrail.errors.settings import BadPathError, VersionConflictError

ROWS = [{'instance': 'e1', 'load': 0.5, 'x': 1}, {'instance': 'e\x1b[2J\n', 'load': None}]


class OutputTest(unittest.TestCase):
    def output(self, *, as_json: bool) -> Output:
        return Output(stream=io.StringIO(), errors=io.StringIO(), as_json=as_json)

    def test_table_is_aligned_and_cannot_control_the_terminal(self):
        output = self.output(as_json=False)
        output.table(ROWS, ('instance', 'load'))
        expected = 'instance    load\ne1          0.5\ne\\x1b[2J\\n  -\n'
        self.assertEqual(output.stream.getvalue(), expected)

    def test_fields_for_people(self):
        output = self.output(as_json=False)
        output.fields({'ok': True, 'models': ['a', 'b'], 'values': {'weight': 2}})
        self.assertEqual(output.stream.getvalue(), 'ok:     yes\nmodels: a,b\nvalues: weight=2\n')

    def test_json_keeps_all_keys(self):
        output = self.output(as_json=True)
        output.table(ROWS, ('instance',))
        self.assertEqual(json.loads(output.stream.getvalue()), ROWS)

    def test_error_keeps_the_type_of_the_server(self):
        failure = errors.AnswerConflictError(type='version_conflict', message='lost', winner='c0')
        people, programs = self.output(as_json=False), self.output(as_json=True)
        people.error(failure)
        programs.error(failure)
        self.assertEqual(people.errors.getvalue(), 'error: lost (version_conflict)\n')
        body = json.loads(programs.errors.getvalue())['error']
        self.assertEqual(body, {'type': 'version_conflict', 'message': 'lost', 'winner': 'c0'})


class ExitCodeTest(unittest.TestCase):
    def test_numbers_do_not_change(self):
        # Guards scripts of operators against a renumbering.
        self.assertEqual([int(code) for code in ExitCode], list(range(8)))
        self.assertTrue(all(code.about for code in ExitCode))

    def test_each_failure_has_its_code(self):
        refused = {'type': 'x', 'message': 'y'}
        conflict = {'node': '/', 'version': 1, 'winner': 'c', 'operator': 'o', 'expected': 0}
        cases = (
            (ConfigError(file='f', line=1, key='k', reason='r'), ExitCode.USAGE),
            (BadPathError(node='x', reason='r'), ExitCode.REFUSED),
            (errors.AnswerRefusedError(**refused), ExitCode.REFUSED),
            (VersionConflictError(**conflict), ExitCode.CONFLICT),
            (errors.AnswerConflictError(**refused), ExitCode.CONFLICT),
            (errors.ControlUnreachableError(deadline_s=1, reason='r'), ExitCode.UNREACHABLE),
            (errors.OperatorOutcomeUnknownError(reason='r'), ExitCode.OUTCOME_UNKNOWN),
            (RuntimeError(), ExitCode.FAILED),
        )
        for failure, code in cases:
            self.assertEqual(exit_code_of(failure), code)


if __name__ == '__main__':
    unittest.main()
