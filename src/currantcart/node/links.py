"""Streams to other nodes, opened on first use."""

from __future__ import annotations

import asyncio
import ssl

from currantcart import errors
from currantcart.membership import model as membership_model
from currantcart.node import context as node_context
from currantcart.settings import model as settings_model
from currantcart.wire import connection, handshake

DIAL_SECONDS_MAX = 2.0


def server_tls(tls: settings_model.Tls | None) -> ssl.SSLContext | None:
    """Returns the TLS context for accepting streams."""
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    return load_tls(context, tls)


def client_tls(tls: settings_model.Tls | None) -> ssl.SSLContext | None:
    """Returns the TLS context for dialling streams."""
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Instances are replaced often and have no stable host names. They are
    # authenticated by the fleet's certificate authority, and by the fleet
    # secret in the handshake.
    context.check_hostname = False
    return load_tls(context, tls)


def load_tls(
    context: ssl.SSLContext, tls: settings_model.Tls
) -> ssl.SSLContext:
    """Loads certificate, key and authority; requires a peer certificate.

    Raises:
      errors.SettingsError: A file is missing or is not valid PEM.
    """
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    try:
        context.load_cert_chain(tls.certificate, tls.key)
        context.load_verify_locations(tls.authority)
    except (OSError, ssl.SSLError) as error:
        raise errors.SettingsError(
            f"tls: {error}", code=errors.Code.SETTINGS_INVALID
        ) from error
    return context


class Links:
    """Streams between this node and its peers.

    Attributes:
      streams: Streams by peer instance.
      dialling: Tasks that are opening a stream, by peer instance.
      accepted: Streams that peers dialled.
    """

    def __init__(
        self,
        context: node_context.NodeContext,
        *,
        service: connection.Service,
    ) -> None:
        self.context = context
        self.service = service
        self.tls = client_tls(context.settings.tls)
        self.streams: dict[str, connection.Connection] = {}
        self.dialling: dict[str, asyncio.Task[connection.Connection]] = {}
        self.accepted: set[connection.Connection] = set()

    def new_connection(self, role: handshake.Role) -> connection.Connection:
        """Returns the local end of a new stream."""
        return connection.Connection(
            service=self.service,
            shake=handshake.Handshake(
                role=role,
                instance=self.context.instance,
                fleet_secret=self.context.settings.secret(),
            ),
            loop=self.context.loop,
        )

    def accept(self) -> connection.Connection:
        """Returns the protocol for a stream that a peer dials."""
        stream = self.new_connection(handshake.Role.ACCEPTOR)
        self.accepted.add(stream)
        return stream

    def usable_stream(self, instance: str) -> connection.Connection | None:
        """Returns a usable stream to a peer, or None without one."""
        stream = self.streams.get(instance)
        return stream if stream is not None and stream.usable else None

    async def connect(
        self, member: membership_model.Member
    ) -> connection.Connection:
        """Returns a stream to a peer; concurrent callers share one dial.

        Raises:
          errors.StreamError: The peer cannot be reached.
        """
        stream = self.usable_stream(member.instance)
        if stream is not None:
            return stream
        task = self.dialling.get(member.instance)
        if task is None:
            task = self.context.loop.create_task(self.dial(member.peers))
            self.dialling[member.instance] = task
            task.add_done_callback(
                lambda _: self.dialling.pop(member.instance, None)
            )
        return await asyncio.shield(task)

    async def dial(self, address: str) -> connection.Connection:
        """Opens a stream to an address.

        Raises:
          errors.StreamError: The connection or its handshake failed or took
            longer than `DIAL_SECONDS_MAX`.
        """
        host, port = settings_model.split_address(address)
        stream = self.new_connection(handshake.Role.DIALER)
        try:
            async with asyncio.timeout(DIAL_SECONDS_MAX):
                await self.context.loop.create_connection(
                    lambda: stream, host, port, ssl=self.tls
                )
                await stream.ready
        except (OSError, TimeoutError, errors.StreamError) as error:
            stream.close()
            reason = str(error) or "timed out"
            raise errors.StreamError(
                errors.Code.PEER_UNREACHABLE, reason, peer=address
            ) from error
        self.streams[stream.peer] = stream
        return stream

    def remove(self, stream: connection.Connection) -> None:
        """Removes a stream that has ended."""
        self.accepted.discard(stream)
        if self.streams.get(stream.peer) is stream:
            del self.streams[stream.peer]

    def close(self) -> None:
        """Closes all streams and cancels those being opened."""
        for task in list(self.dialling.values()):
            task.cancel()
        for stream in [*self.streams.values(), *self.accepted]:
            stream.close()
