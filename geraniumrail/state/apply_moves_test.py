"""Guards the results of changes and orders that share names with other commands."""

import unittest

from geraniumrail.state import commands, results
from geraniumrail.state.apply import apply
from geraniumrail.state.tables import Tables, TablesImage

PATH = '/*/model-bench'


class ResendTest(unittest.TestCase):
    def setUp(self):
        self.tables = Tables()
        self.change = commands.ChangeSettings(
            change_id='same',
            path=PATH,
            expected_version=0,
            values={'version': 'v1'},
            operator='o',
        )
        self.first = apply(self.change, self.tables)

    def test_end_of_move_keeps_the_result_of_a_change(self):
        """A move with the id of a change replaced the result that a resend gets."""
        start = commands.StartMove(
            move_id='same', service='model-bench', to_version='v2', deadline=9, operator='o'
        )
        apply(start, self.tables)
        apply(commands.EndMove(move_id='same', phase='done', reason=''), self.tables)
        self.assertEqual(self.tables.tree.nodes_by_path[PATH].values['version'], 'v2')
        self.assertEqual(apply(self.change, self.tables), self.first)

    def test_order_keeps_its_number(self):
        """A resend after a restart must not carry out an order again after a later one."""
        order = commands.IssueOrder(backend='e', kind='load_model', name='m', order_id='1')
        first = apply(order, self.tables)
        restored = TablesImage.from_tables(self.tables).to_tables()
        self.assertEqual(apply(order, restored), first)
        apply(commands.IssueOrder(backend='e', kind='unload', name='m', order_id='2'), restored)
        again = results.OrderIssued(number=first.number, superseded=True)
        self.assertEqual(apply(order, restored), again)


if __name__ == '__main__':
    unittest.main()
