"""Tests of the check of the proofs page."""

from __future__ import annotations

import unittest

from ibisfront.testing.proofs import Proof, faults_of, read_proofs

PAGE = """
| Promise | Mechanism | Test | Failed first | Figure | State |
| --- | --- | --- | --- | --- | --- |
| One snapshot | pinning | `test_x.T.test_one` | abc1234 | none | proved |
| Coverage | counting | | | | not proved: later |
"""


class ProofsTest(unittest.TestCase):
    """The page must not claim a test that did not run."""

    def test_rows_are_read(self) -> None:
        proofs = read_proofs(PAGE)
        self.assertEqual(
            [proof.promise for proof in proofs], ["One snapshot", "Coverage"]
        )
        self.assertEqual(proofs[0].tests, ("test_x.T.test_one",))

    def test_a_test_that_did_not_run_is_a_fault(self) -> None:
        faults = faults_of(read_proofs(PAGE), ["ibisfront.tests.test_x.T.test_two"])
        self.assertEqual(len(faults), 1)
        self.assertIn("test_x.T.test_one did not run", faults[0])

    def test_tests_that_ran_are_no_fault(self) -> None:
        ran = ["ibisfront.tests.test_x.T.test_one"]
        self.assertEqual(faults_of(read_proofs(PAGE), ran), [])

    def test_a_claim_without_a_test_is_a_fault(self) -> None:
        self.assertEqual(len(faults_of([Proof("p", (), "proved")], [])), 1)

    def test_an_empty_state_is_a_fault(self) -> None:
        self.assertEqual(len(faults_of([Proof("p", (), "")], [])), 1)
