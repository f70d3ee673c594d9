"""Tests of max-min fair division."""

from __future__ import annotations

import unittest

from ibisfront.core.max_min import divide, divide_whole


class MaxMinTest(unittest.TestCase):
    """Nobody gets more while another wants and has less."""

    def test_small_demands_are_met_and_the_rest_is_equal(self):
        self.assertEqual(divide(10.0, [1.0, 8.0, 8.0]), [1.0, 4.5, 4.5])

    def test_the_given_part_of_what_is_left_over_is_split_equally(self):
        self.assertEqual(divide(10.0, [1.0, 3.0]), [1.0, 3.0])
        self.assertEqual(divide(10.0, [1.0, 3.0], surplus_fraction=0.5), [2.5, 4.5])

    def test_whole_units_are_all_given_out(self):
        self.assertEqual(divide_whole(3, [2.0] * 5), [1, 1, 1, 0, 0])
        self.assertEqual(sum(divide_whole(20, [9.0, 9.0, 9.0])), 20)

    def test_nothing_is_divided_among_nobody_or_out_of_a_deficit(self):
        self.assertEqual(divide(5.0, []), [])
        self.assertEqual(divide_whole(-3, [1.0, 1.0]), [0, 0])
