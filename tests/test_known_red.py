"""A run tolerates failures of exactly the tests listed in `KNOWN-RED.txt`.

Guards against a list that hides other failures, or that keeps entries of tests
that pass or no longer exist.
"""

from __future__ import annotations

import pathlib

import pytest

from tests import known_red

TESTS = """
import pytest

def test_red():
    assert False

@pytest.mark.parametrize("seed", [1, 2])
def test_seeds(seed):
    assert seed == 1

def test_green():
    pass
"""
ENTRY = "{} | make test, seed 2 | the sum was wrong | issue 9"


def run_tests(
    pytester: pytest.Pytester, *tests: str, chosen: str = ""
) -> pytest.RunResult:
    """Runs the tests in `TESTS` with some of them listed.

    Args:
      pytester: Runs pytest in a temporary directory.
      *tests: Listed tests.
      chosen: The only test to run; all if empty.
    """
    pytester.makepyfile(test_it=TESTS)
    pytester.makeini(
        "[pytest]\ntestpaths = .\nasyncio_mode = auto\n"
        "asyncio_default_fixture_loop_scope = function"
    )
    listed = "\n".join(["# a note", "", *map(ENTRY.format, tests)])
    return pytester.runpytest_inprocess(
        *([chosen] if chosen else []),
        plugins=[known_red.Plugin(known_red.parse(listed))],
    )


def test_without_entries_every_failure_fails_the_run(
    pytester: pytest.Pytester,
) -> None:
    result = run_tests(pytester)
    result.assert_outcomes(passed=2, failed=2)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_only_listed_failures_are_tolerated(pytester: pytest.Pytester) -> None:
    result = run_tests(pytester, "test_it.py::test_red")
    result.assert_outcomes(passed=2, failed=1, xfailed=1)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_a_run_with_only_listed_failures_passes_and_prints_them(
    pytester: pytest.Pytester,
) -> None:
    result = run_tests(
        pytester, "test_it.py::test_red", "test_it.py::test_seeds[2]"
    )
    result.assert_outcomes(passed=2, xfailed=2)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(
        [
            "known red, failed: test_it.py::test_red | make test, seed 2 | "
            "the sum was wrong | issue 9",
            "known red, failed: test_it.py::test_seeds[[]2] | *",
        ]
    )


def test_a_listed_test_that_passes_is_printed(
    pytester: pytest.Pytester,
) -> None:
    result = run_tests(
        pytester, "test_it.py::test_green", chosen="test_it.py::test_green"
    )
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["known red, passed: test_it.py::test_green*"])


def test_a_listed_test_that_does_not_exist_is_an_error(
    pytester: pytest.Pytester,
) -> None:
    result = run_tests(pytester, "test_it.py::test_gone")
    assert result.ret == pytest.ExitCode.USAGE_ERROR


@pytest.mark.parametrize(
    "line", ["test_it.py::test_red", "a | b | c", "a|b||d"]
)
def test_a_malformed_line_is_an_error(line: str) -> None:
    with pytest.raises(ValueError, match="line 1"):
        known_red.parse(line)


def test_without_a_file_nothing_is_listed(tmp_path: pathlib.Path) -> None:
    assert known_red.read(tmp_path) == []
