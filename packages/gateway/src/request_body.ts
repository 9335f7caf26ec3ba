/**
 * Reads bodies of requests into memory that is reserved first, and discards the bodies of
 * refused requests.
 * @module
 */
import { Buffer } from "node:buffer";
import type * as http from "node:http";
import { discardBody, type Reservation } from "@bitternfall/caller";
import { findMeter } from "@bitternfall/connection";
import { dropChunk } from "./collector.ts";

/** How reading a body ended. */
export type BodyResult =
  | { readonly tag: "read"; readonly body: Buffer | undefined }
  | { readonly tag: "too_large" | "no_memory" | "too_slow" | "broken" };

const MIN_CAPACITY_BYTES = 16_384;
const MAX_READ_MS = 10_000;
/** Longer than callers wait for an answer. */
const MAX_DISCARD_MS = 30_000;
const MAX_DISCARD_BYTES = 64_000_000;

const EMPTY = Buffer.alloc(0);
const FRAMING_HEADERS = ["content-length", "transfer-encoding"];

/** Picks the headers that frame a body, so that the others need not be kept. */
export function pickFraming(
  headers: ReadonlyMap<string, string>,
): ReadonlyMap<string, string> {
  const framing = new Map<string, string>();
  for (const name of FRAMING_HEADERS) {
    const value = headers.get(name);
    if (value !== undefined) framing.set(name, value);
  }
  return framing;
}

/** Reads a body of at most `maxBytes`, without more memory than `reservation` gets. */
export function readRequestBody(
  req: http.IncomingMessage,
  options: {
    headers: ReadonlyMap<string, string>;
    maxBytes: number;
    reservation: Reservation;
  },
): Promise<BodyResult> {
  const { headers, maxBytes, reservation } = options;
  const length = headers.get("content-length");
  if (length === undefined && !headers.has("transfer-encoding")) {
    return Promise.resolve({ tag: "read", body: undefined });
  }
  const declaredBytes = Number(length ?? 0);
  if (declaredBytes > maxBytes) return Promise.resolve({ tag: "too_large" });
  if (!reservation.reserve(declaredBytes)) {
    return Promise.resolve({ tag: "no_memory" });
  }
  return new Promise((resolve) => {
    // One buffer from the start, since chunks that are joined at the end take twice the memory.
    let buffer = Buffer.allocUnsafeSlow(declaredBytes);
    let size = 0;
    const finish = (result: BodyResult) => {
      clearTimeout(timer);
      req.off("data", onData);
      // The listeners stay for as long as the request, and must not hold its body.
      buffer = EMPTY;
      resolve(result);
    };
    const timer = setTimeout(() => finish({ tag: "too_slow" }), MAX_READ_MS);
    const onData = (chunk: Buffer) => {
      const neededBytes = size + chunk.length;
      if (neededBytes > maxBytes) return finish({ tag: "too_large" });
      if (neededBytes > buffer.length) {
        const capacity = Math.min(
          maxBytes,
          Math.max(MIN_CAPACITY_BYTES, 2 * buffer.length, neededBytes),
        );
        if (!reservation.reserve(capacity)) return finish({ tag: "no_memory" });
        const larger = Buffer.allocUnsafeSlow(capacity);
        buffer.copy(larger, 0, 0, size);
        reservation.release(buffer.length);
        buffer = larger;
      }
      chunk.copy(buffer, size);
      dropChunk(chunk.length);
      size = neededBytes;
    };
    req.on("data", onData);
    req.once(
      "end",
      () => finish({ tag: "read", body: buffer.subarray(0, size) }),
    );
    req.on("error", () => finish({ tag: "broken" }));
    req.once("close", () => finish({ tag: "broken" }));
  });
}

/** Reads the rest of a refused request behind all others, and discards it. */
export async function discardRequestBody(
  req: http.IncomingMessage,
): Promise<void> {
  const meter = findMeter(req.socket);
  meter?.setDiscarded(true);
  await discardBody(req, {
    maxMs: MAX_DISCARD_MS,
    maxBytes: MAX_DISCARD_BYTES,
    onDropped: dropChunk,
  });
  meter?.setDiscarded(false);
}
