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

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from currantcart.proxy import serve  # noqa: E402

VARIABLE = "CURRANTCART_BOOT"
EXIT_USAGE = 2

if __name__ == "__main__":
    if not os.environ.get(VARIABLE):
        sys.stderr.write(
            f'event=ended detail="{VARIABLE} is not set" status={EXIT_USAGE}\n'
        )
        sys.exit(EXIT_USAGE)
    sys.exit(serve.run(pathlib.Path(os.environ[VARIABLE])))
