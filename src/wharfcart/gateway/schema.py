"""Request models of the OpenAI-compatible API, with the fields that wharfcart reads."""

from typing import Any

from pydantic import BaseModel, ConfigDict, Field


class _Lenient(BaseModel):
    """Base model that accepts unknown fields, which are meant for the engine or a newer API."""

    model_config = ConfigDict(extra="allow")


class Message(_Lenient):
    """One chat message."""

    role: str
    content: str | list[Any] | None = None


class ChatCompletionRequest(_Lenient):
    """``POST /v1/chat/completions``."""

    model: str
    messages: list[Message] = Field(min_length=1)
    stream: bool = False
    max_tokens: int | None = Field(default=None, ge=1)
    max_completion_tokens: int | None = Field(default=None, ge=1)


class CompletionRequest(_Lenient):
    """``POST /v1/completions``."""

    model: str
    prompt: str
    stream: bool = False
    max_tokens: int | None = Field(default=None, ge=1)


class BatchRequest(_Lenient):
    """``POST /v1/batches``."""

    input_file_id: str
    endpoint: str = "/v1/chat/completions"
    completion_window: str = Field(default="24h", pattern=r"^\d{1,4}[smhd]$")
    metadata: dict[str, str] | None = None

    def window_seconds(self) -> float:
        """Return the completion window in seconds."""
        unit = {"s": 1, "m": 60, "h": 3600, "d": 86_400}[self.completion_window[-1]]
        return float(int(self.completion_window[:-1]) * unit)
