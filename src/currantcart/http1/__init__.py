"""HTTP/1.1 towards callers and targets, on aiohttp's parsers and writers.

`aiohttp.web` and `ClientSession` cost several times what a bare relay costs;
docs/design/hop-cost.md gives the figures. These modules keep aiohttp's
C parser, its payload streams and its writer, and leave out the rest.
"""
