/**
 * Reads bodies of requests into memory that is reserved first.
 * @module
 */
import { Buffer } from "node:buffer";
import type * as http from "node:http";
import { dropChunk } from "./collector.ts";
import type { Reservation } from "./memory_budget.ts";

/** How reading a body ended. */
export type BodyResult =
  | { readonly tag: "read"; readonly body: Buffer | undefined }
  | { readonly tag: "too_large" | "no_memory" | "broken" };

const MIN_CAPACITY_BYTES = 16_384;

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
      req.off("data", onData);
      resolve(result);
    };
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
