"""The request path of a platform deployment, which is plain HTTP.

A node accepts plain HTTP/1.1 from callers, routes each request to its target or
to a peer's node, and forwards it to the target as plain HTTP. Header names come
from the platform, see `header_names`. The other request path,
`currantcart.node`, serves the product's own interface.

The event loop calls the parts of this package with the data that has arrived,
and they return without waiting; no task is created for a request. Measurements
are in docs/design/platform.md.
"""
