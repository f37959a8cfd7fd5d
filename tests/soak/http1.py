"""Minimal HTTP/1.1 messages over asyncio streams for the soak test."""

import asyncio


class Closed(Exception):
    """The connection was closed before a message was complete."""


async def read_message(reader):
    """Returns (first line, headers with lower-case names, body), or None if the connection was closed between messages."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Closed("connection closed within a message head") from error
        return None
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise Closed(str(error)) from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await _read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed("connection closed within a message body") from error
    return lines[0], headers, body


async def _read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0] or b"0", 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first_line, headers, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, path, body=b"", timeout=1.0, host_name=None):
    """Sends one request on a new connection, for `host_name` if given; returns (status, headers, body)."""
    async def exchange():
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            headers = {"Host": host_name or address, "Connection": "close", "Content-Type": "application/json"}
            writer.write(message(f"{method} {path} HTTP/1.1", headers, body))
            answer = await read_message(reader)
        finally:
            writer.close()
        if answer is None:
            raise Closed("connection closed before a response")
        return int(answer[0].split()[1]), answer[1], answer[2]
    return await asyncio.wait_for(exchange(), timeout)


async def is_served(address, path, timeout):
    """Returns whether a GET of the path is answered with 200 in time."""
    try:
        status, _, _ = await call(address, "GET", path, timeout=timeout)
    except (OSError, Closed, asyncio.TimeoutError):
        return False
    return status == 200
