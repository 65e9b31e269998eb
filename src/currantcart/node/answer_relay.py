"""Sends the answer of a target to the caller, as one message or streamed."""

from __future__ import annotations

from multidict import CIMultiDict

from currantcart import errors
from currantcart.call import model as call_model
from currantcart.http1 import headers, server
from currantcart.wire import call_stream, messages


async def relay(
    exchange: server.Exchange,
    call: call_model.Call,
    answer: messages.Answer,
    stream: call_stream.CallStream,
) -> None:
    """Sends the answer of a target to the caller."""
    fields = answer_headers(answer, call)
    if stream.at_end or answer.last:
        await exchange.start(answer.status, fields, body=stream.read_nowait())
        await exchange.finish(answer.chunk if call.method != "HEAD" else b"")
    else:
        await relay_stream(exchange, answer, stream, fields)


async def relay_stream(
    exchange: server.Exchange,
    answer: messages.Answer,
    stream: call_stream.CallStream,
    fields: CIMultiDict[str],
) -> None:
    """Streams an answer with backpressure from the caller."""
    await exchange.start(answer.status, fields, body=None)
    try:
        while not stream.at_end:
            chunk = await stream.read()
            if chunk:
                await exchange.write(chunk)
    except errors.StreamError:
        # The head was sent already; only an aborted connection shows that the
        # answer is incomplete.
        exchange.abort()
        return
    await exchange.finish()


def answer_headers(
    answer: messages.Answer, call: call_model.Call
) -> CIMultiDict[str]:
    """Returns the headers of the answer to the caller."""
    fields = headers.to_multidict(answer.headers)
    fields[headers.CALL_ID] = call.call_id
    return fields
