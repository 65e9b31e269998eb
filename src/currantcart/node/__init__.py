"""The request path of the product's own interface, and the node that serves it.

Callers send HTTP requests that name a service and carry an API key or the
signed context of the call that makes them. Nodes carry the calls to each other
as msgpack messages on streams. The other request path, `currantcart.proxy`,
serves the plain HTTP of a platform.
"""
