from __future__ import annotations

import asyncio
import ssl

import aiohttp
import pytest
import trustme
import zmq.auth

from bergamotmast.adapters.curve_files import PUBLIC_KEY_LENGTH
from bergamotmast.adapters.curve_files import load_keys
from bergamotmast.errors import SettingError
from process_fleet import process_fleet
from support import MODEL


def certificate(directory, name):
    """Write a CURVE certificate and return its secret file and public key."""
    _, secret_file = zmq.auth.create_certificates(str(directory), name)
    public, _ = zmq.auth.load_certificate(secret_file)
    return secret_file, public.decode()


def peers_file(directory, name, *keys):
    path = directory / name
    path.write_text("".join(f"{key}  # a peer\n" for key in keys))
    return str(path)


def test_keys_are_read_from_files(tmp_path):
    secret_file, public = certificate(tmp_path, "side")
    _, first = certificate(tmp_path, "entry")
    _, second = certificate(tmp_path, "new-entry")
    keys = load_keys(secret_file, peers_file(tmp_path, "peers", first, second))
    assert keys.public == public.encode()
    assert keys.allowed == {first.encode(), second.encode()}
    assert keys.server == first.encode()


def test_no_files_mean_no_keys():
    assert load_keys("", "") is None


@pytest.mark.parametrize("place", [0, 20, PUBLIC_KEY_LENGTH - 1])
def test_public_key_may_contain_the_comment_character(place, tmp_path):
    """A process did not start: "give public keys of 40 characters, one a line".

    Keys are encoded in Z85, whose alphabet contains "#". A key that ends with it,
    followed by a comment, lost its last character; about one fleet of three keys in
    thirty has such a key.
    """
    secret_file, _ = certificate(tmp_path, "side")
    key = "a" * place + "#" + "b" * (PUBLIC_KEY_LENGTH - 1 - place)
    path = tmp_path / "peers"
    path.write_text(f"# all entries\n\n{key}  # the first\n  {key} \n{key}\n")
    assert load_keys(secret_file, str(path)).server == key.encode()


@pytest.mark.parametrize(
    "content", ["", "# nothing\n", "too-short\n", "\xff\n", "k" * 40 + " more\n"]
)
def test_a_bad_peers_file_is_named(content, tmp_path):
    secret_file, _ = certificate(tmp_path, "side")
    path = tmp_path / "peers"
    path.write_bytes(content.encode("latin-1"))
    with pytest.raises(SettingError, match="--curve-peers-file"):
        load_keys(secret_file, str(path))


@pytest.mark.parametrize("content", ["", "no certificate"])
def test_a_bad_secret_file_is_named(content, tmp_path):
    path = tmp_path / "secret"
    path.write_text(content)
    with pytest.raises(SettingError, match="--curve-secret-file"):
        load_keys(str(path), str(path))


async def test_fleet_with_keys_and_tls_refuses_an_unknown_key(tmp_path):
    # Entries and sides have CURVE keys, and entries use TLS. A caller is answered; an
    # entry whose key the sides do not know never gets a session.
    side_secret, side_public = certificate(tmp_path, "side")
    entry_secret, entry_public = certificate(tmp_path, "entry")
    stranger_secret, _ = certificate(tmp_path, "stranger")
    sides = peers_file(tmp_path, "sides", side_public)
    entries = peers_file(tmp_path, "entries", entry_public)
    election = trustme.CA()
    issued = election.issue_cert("127.0.0.1")
    issued.private_key_pem.write_to_path(tmp_path / "key.pem")
    for part in issued.cert_chain_pems:
        part.write_to_path(tmp_path / "chain.pem", append=True)
    tls = (
        "--tls-certificate-file",
        str(tmp_path / "chain.pem"),
        "--tls-key-file",
        str(tmp_path / "key.pem"),
    )
    curve = ("--curve-peers-file", sides, "--curve-secret-file")
    async with process_fleet(
        tmp_path,
        engines=1,
        services=0,
        entries=0,
        side_flags=("--curve-secret-file", side_secret, "--curve-peers-file", entries),
    ) as f:
        f.entry_flags = (*curve, entry_secret, *tls)
        await f.start_entry("entry-1")
        f.entry_flags = (*curve, stranger_secret)
        await f.start_entry("entry-2")
        context = ssl.create_default_context()
        election.configure_trust(context)
        url = f.urls["entry-1"].replace("http:", "https:")
        connector = aiohttp.TCPConnector(ssl=context)
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                async with session.get(url + "/health/ready") as response:
                    if response.status == 200:
                        break
                await asyncio.sleep(0.1)
            body = {"model": MODEL, "prompt": "a", "max_tokens": 2}
            async with session.post(url + "/v1/completions", json=body) as response:
                assert response.status == 200
            stranger = f.urls["entry-2"] + "/health/sides"
            async with session.get(stranger) as response:
                assert int(await response.text()) == 0
