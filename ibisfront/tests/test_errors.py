"""Tests of the error kinds."""

from __future__ import annotations

import unittest

from ibisfront.core.errors import ANSWERS, ErrorKind, IbisfrontError, Ran


class ErrorTableTest(unittest.TestCase):
    """The table of responses is complete and consistent."""

    def test_every_kind_has_an_answer(self) -> None:
        self.assertEqual(set(ANSWERS), set(ErrorKind))

    def test_every_status_is_an_error(self) -> None:
        for kind, answer in ANSWERS.items():
            with self.subTest(kind=kind):
                self.assertGreaterEqual(answer.status, 400)
                self.assertLess(answer.status, 600)

    def test_rate_limit_errors_did_not_run_and_advise_a_delay(self) -> None:
        for kind, answer in ANSWERS.items():
            with self.subTest(kind=kind):
                if answer.status == 429:
                    self.assertIs(answer.ran, Ran.NO)
                    self.assertIsNotNone(answer.retry_after_ms)

    def test_error_has_the_defaults_of_its_kind(self) -> None:
        error = IbisfrontError(ErrorKind.OVER_LIMIT, "over")
        self.assertEqual(error.retry_after_ms, 500)
        self.assertEqual(error.status, 429)
