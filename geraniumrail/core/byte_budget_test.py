"""Tests of the bound on bytes that are kept on behalf of others."""

import unittest

from geraniumrail.core.byte_budget import ByteBudget


class ByteBudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = ByteBudget(100)
        self.given_up = []

    def hold(self, name, source, count):
        hold = self.budget.hold(source, lambda: self.given_up.append(name))
        hold.add(count)
        return hold

    def test_largest_body_of_the_largest_source_is_given_up(self):
        """A large body of a sound source was not to make room for many without end."""
        self.hold('sound', 'a', 40)
        self.hold('endless-1', 'b', 20)
        self.hold('endless-2', 'b', 30)
        self.assertEqual(self.given_up, [])
        self.hold('endless-3', 'b', 20)
        self.assertEqual(self.given_up, ['endless-2'])
        self.assertEqual(self.budget.held_bytes, 80)

    def test_as_many_as_needed_are_given_up(self):
        """One body may exceed the budget by itself."""
        self.hold('one', 'a', 60)
        self.hold('two', 'b', 1000)
        self.assertEqual(self.given_up, ['two'])
        self.assertEqual(self.budget.held_bytes, 60)

    def test_bytes_after_the_end_do_not_count(self):
        """A connection may bring bytes after its answer was given up."""
        hold = self.hold('one', 'a', 60)
        hold.end()
        hold.end()
        hold.add(30)
        hold.give_back(30)
        self.assertEqual((self.budget.held_bytes, self.given_up), (0, []))

    def test_settled_bodies_are_kept(self):
        """A whole answer that waits for its caller must not be lost to one that arrives."""
        whole = self.hold('whole', 'a', 60)
        whole.settle()
        self.hold('arriving', 'b', 50)
        self.assertEqual(self.given_up, ['arriving'])
        self.assertTrue(self.budget.has_room(40))
        self.assertFalse(self.budget.has_room(41))
        whole.end()
        self.assertTrue(self.budget.has_room(41))

    def test_bytes_that_were_passed_on_make_room(self):
        """A long stream holds no more than what has not been passed on."""
        hold = self.budget.hold('a', lambda: self.given_up.append('a'))
        for _ in range(100):
            hold.add(50)
            hold.give_back(50)
        self.assertEqual((self.budget.held_bytes, self.given_up), (0, []))


if __name__ == '__main__':
    unittest.main()
