"""Key-value store client for the JSON gateway of etcd v3."""

import base64
from typing import Any

import aiohttp

from wharfcart.observability.metrics import Metrics
from wharfcart.platform.key_value import KeyValueUnavailableError, VersionedValue

CALL_TIMEOUT_S = 3.0


class EtcdJsonStore:
    """Key-value store behind an etcd v3 JSON gateway."""

    def __init__(self, address: str, session: aiohttp.ClientSession, metrics: Metrics) -> None:
        self._base_url = f"http://{address}/v3/kv"
        self._session = session
        self._metrics = metrics

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value of a key, or None."""
        found = await self._range({"key": _encode(key)})
        return found[0] if found else None

    async def get_prefix(self, prefix: str, min_mod_revision: int = 0) -> list[VersionedValue]:
        """Return all values under a prefix that were set at or after a revision."""
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        body = {"key": _encode(prefix), "range_end": _encode(end)}
        if min_mod_revision:
            body["min_mod_revision"] = str(min_mod_revision)
        return await self._range(body)

    async def compare_and_put(
        self, compare_key: str, expected_mod_revision: int, puts: dict[str, bytes]
    ) -> bool:
        """Write all values in one transaction; return whether the condition held."""
        compare = {
            "key": _encode(compare_key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(expected_mod_revision),
        }
        operations = [
            {"request_put": {"key": _encode(key), "value": base64.b64encode(value).decode()}}
            for key, value in puts.items()
        ]
        result = await self._call("txn", {"compare": [compare], "success": operations}, True)
        return bool(result.get("succeeded", False))

    async def _range(self, body: dict[str, str]) -> list[VersionedValue]:
        result = await self._call("range", body, False)
        return [
            VersionedValue(
                base64.b64decode(pair["key"]).decode(),
                base64.b64decode(pair.get("value", "")),
                int(pair["mod_revision"]),
            )
            for pair in result.get("kvs", [])
        ]

    async def _call(self, name: str, body: dict[str, Any], is_write: bool) -> dict[str, Any]:
        self._metrics.key_value_calls.labels(name).inc()
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.post(
                f"{self._base_url}/{name}", json=body, timeout=timeout
            ) as response:
                if response.status != 200:
                    # An etcd gateway responds with 4xx before it proposes a write.
                    refused = 400 <= response.status < 500
                    raise KeyValueUnavailableError(f"status {response.status}", not refused)
                result: dict[str, Any] = await response.json()
                return result
        except aiohttp.ClientConnectorError as error:
            raise KeyValueUnavailableError(str(error), False) from error
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise KeyValueUnavailableError(repr(error), is_write) from error


def _encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()
