"""Starts a node from the repository, without installing the package."""

import _signal

# SIGHUP requests a reload of the settings, and may arrive during start-up, when
# its default action would end the process. It is ignored until a handler is
# installed: the settings are read after this line anyway. `signal` itself takes
# as long to import as the interpreter to start.
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import os  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402

VARIABLE = "CURRANTCART_BOOT"
EXIT_USAGE = 2
EXIT_INTERNAL = 70

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))


def end(error: str, detail: str, status: int) -> None:
    """Ends the process with one log line that says why."""
    sys.stderr.write(
        f'event=ended error={error} detail="{detail}" status={status}\n'
    )
    sys.exit(status)


try:
    from currantcart.proxy import serve
except ImportError as error:
    end(type(error).__name__, str(error), EXIT_INTERNAL)

if __name__ == "__main__":
    if not os.environ.get(VARIABLE):
        end("SettingsError", f"{VARIABLE} is not set", EXIT_USAGE)
    sys.exit(serve.run(pathlib.Path(os.environ[VARIABLE])))
