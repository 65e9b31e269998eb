"""HTTP/1.1 for callers and targets, on aiohttp's parsers and writers.

`aiohttp.web` and `ClientSession` cost several times as much as a plain relay;
docs/design/hop-cost.md gives the figures. Of aiohttp, these modules use only
the C parser, the payload streams and the writer.
"""
