"""The run passes over exactly the tests that `KNOWN-RED.txt` names."""

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


def play(
    pytester: pytest.Pytester, *tests: str, chosen: str = ""
) -> pytest.RunResult:
    """Runs the tests above with some of them named."""
    pytester.makepyfile(test_it=TESTS)
    pytester.makeini(
        "[pytest]\ntestpaths = .\nasyncio_mode = auto\n"
        "asyncio_default_fixture_loop_scope = function"
    )
    named = "\n".join(["# a note", "", *map(ENTRY.format, tests)])
    return pytester.runpytest_inprocess(
        *([chosen] if chosen else []),
        plugins=[known_red.Plugin(known_red.parse(named))],
    )


def test_without_entries_every_failure_fails_the_run(
    pytester: pytest.Pytester,
) -> None:
    result = play(pytester)
    result.assert_outcomes(passed=2, failed=2)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_only_what_is_named_is_passed_over(pytester: pytest.Pytester) -> None:
    result = play(pytester, "test_it.py::test_red")
    result.assert_outcomes(passed=2, failed=1, xfailed=1)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_the_run_passes_when_all_that_fails_is_named_and_prints_it(
    pytester: pytest.Pytester,
) -> None:
    result = play(pytester, "test_it.py::test_red", "test_it.py::test_seeds[2]")
    result.assert_outcomes(passed=2, xfailed=2)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(
        [
            "known red, failed: test_it.py::test_red | make test, seed 2 | "
            "the sum was wrong | issue 9",
            "known red, failed: test_it.py::test_seeds[[]2] | *",
        ]
    )


def test_a_named_test_that_passes_is_told(pytester: pytest.Pytester) -> None:
    result = play(
        pytester, "test_it.py::test_green", chosen="test_it.py::test_green"
    )
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["known red, passed: test_it.py::test_green*"])


def test_a_name_without_a_test_is_an_error(pytester: pytest.Pytester) -> None:
    result = play(pytester, "test_it.py::test_gone")
    assert result.ret == pytest.ExitCode.USAGE_ERROR


@pytest.mark.parametrize(
    "line", ["test_it.py::test_red", "a | b | c", "a|b||d"]
)
def test_a_line_that_is_no_entry_is_an_error(line: str) -> None:
    with pytest.raises(ValueError, match="line 1"):
        known_red.parse(line)


def test_without_a_file_nothing_is_passed_over(tmp_path: pathlib.Path) -> None:
    assert known_red.read(tmp_path) == []
