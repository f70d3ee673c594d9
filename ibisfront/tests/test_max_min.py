"""Tests of max-min fair division."""

from __future__ import annotations

import unittest

from ibisfront.core.max_min import divide, divide_whole


class MaxMinTest(unittest.TestCase):
    """Small demands are met in full, and the rest is divided equally."""

    def test_small_demands_are_met_and_the_rest_is_equal(self):
        self.assertEqual(divide(10.0, [1.0, 8.0, 8.0]), [1.0, 4.5, 4.5])

    def test_the_surplus_fraction_is_split_equally(self):
        self.assertEqual(divide(10.0, [1.0, 3.0]), [1.0, 3.0])
        self.assertEqual(divide(10.0, [1.0, 3.0], surplus_fraction=0.5), [2.5, 4.5])

    def test_whole_units_are_all_allocated(self):
        self.assertEqual(divide_whole(3, [2.0] * 5), [1, 1, 1, 0, 0])
        self.assertEqual(sum(divide_whole(20, [9.0, 9.0, 9.0])), 20)

    def test_no_claimants_or_a_deficit_yields_nothing(self):
        self.assertEqual(divide(5.0, []), [])
        self.assertEqual(divide_whole(-3, [1.0, 1.0]), [0, 0])
