"""Mutual TLS between nodes, over real sockets on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import ipaddress
import pathlib
import ssl

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from currantcart import errors
from currantcart.node import links
from currantcart.settings import model as settings_model

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def name_of(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, text)])


def write_authority(
    folder: pathlib.Path,
) -> tuple[x509.Certificate, ec.EllipticCurvePrivateKey]:
    """Creates a certificate authority and writes its certificate."""
    key = ec.generate_private_key(ec.SECP256R1())
    constraint = x509.BasicConstraints(ca=True, path_length=None)
    certificate = (
        builder(key.public_key())
        .subject_name(name_of("authority"))
        .add_extension(constraint, critical=True)
        .sign(key, hashes.SHA256())
    )
    (folder / "ca.pem").write_bytes(pem(certificate))
    return certificate, key


def builder(public: ec.EllipticCurvePublicKey) -> x509.CertificateBuilder:
    return (
        x509.CertificateBuilder()
        .issuer_name(name_of("authority"))
        .public_key(public)
        .serial_number(x509.random_serial_number())
        .not_valid_before(NOW)
        .not_valid_after(NOW + datetime.timedelta(days=36_500))
    )


def pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)


def make_tls(folder: pathlib.Path) -> settings_model.Tls:
    """Creates an authority and the certificate of an instance."""
    folder.mkdir()
    _, authority = write_authority(folder)
    key = ec.generate_private_key(ec.SECP256R1())
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        builder(key.public_key())
        .subject_name(name_of("instance"))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(authority, hashes.SHA256())
    )
    (folder / "node.pem").write_bytes(pem(certificate))
    (folder / "node.key").write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return settings_model.Tls(
        certificate=folder / "node.pem",
        key=folder / "node.key",
        authority=folder / "ca.pem",
    )


async def exchange(
    server: ssl.SSLContext | None, client: ssl.SSLContext | None
) -> bytes:
    """Sends a line to an echo server and returns the answer."""

    async def echo(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(await reader.readline())
        await writer.drain()
        writer.close()

    listening = await asyncio.start_server(echo, "127.0.0.1", 0, ssl=server)
    port = listening.sockets[0].getsockname()[1]
    try:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", port, ssl=client
        )
        writer.write(b"call\n")
        answer = await reader.readline()
        writer.close()
        return answer
    finally:
        listening.close()


def run_exchange(
    server: ssl.SSLContext | None, client: ssl.SSLContext | None
) -> bytes:
    with asyncio.Runner(loop_factory=asyncio.SelectorEventLoop) as runner:
        runner.get_loop().set_exception_handler(lambda loop, context: None)
        return runner.run(exchange(server, client))


def test_instances_of_one_authority_connect(tmp_path: pathlib.Path) -> None:
    tls = make_tls(tmp_path / "a")
    server, client = links.server_tls(tls), links.client_tls(tls)
    assert run_exchange(server, client) == b"call\n"


def test_instance_of_another_authority_is_rejected(
    tmp_path: pathlib.Path,
) -> None:
    server = links.server_tls(make_tls(tmp_path / "a"))
    client = links.client_tls(make_tls(tmp_path / "b"))
    with pytest.raises((ssl.SSLError, ConnectionError)):
        run_exchange(server, client)


def test_client_without_a_certificate_is_rejected(
    tmp_path: pathlib.Path,
) -> None:
    tls = make_tls(tmp_path / "a")
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client.check_hostname = False
    client.load_verify_locations(tls.authority)
    # In TLS 1.3 the server may reject the client after the client's handshake
    # is complete: the connection then ends without an answer.
    answer = b""
    with contextlib.suppress(ssl.SSLError, ConnectionError):
        answer = run_exchange(links.server_tls(tls), client)
    assert answer == b""


def test_missing_file_is_a_settings_error(tmp_path: pathlib.Path) -> None:
    tls = make_tls(tmp_path / "a")
    tls.key.unlink()
    with pytest.raises(errors.SettingsError) as caught:
        links.server_tls(tls)
    assert caught.value.code is errors.Code.SETTINGS_INVALID
