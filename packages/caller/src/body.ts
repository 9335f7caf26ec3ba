/**
 * Reads and parses request bodies within size and nesting limits.
 * @module
 */
import { Buffer } from "node:buffer";
import type * as http from "node:http";
import { ChunkCollector } from "@bitternfall/connection";
import { Refusal } from "@bitternfall/errors";
import type { Reservation } from "./memory_pool.ts";

/** Time after which a request for which there was no memory may come back. */
const NO_MEMORY_RETRY_AFTER_MS = 1000;
const MAX_DISCARD_MS = 10_000;
const MAX_DISCARD_BYTES = 64_000_000;

/**
 * Reads a request body of at most `maxBytes`, without more memory than `reservation` gets.
 * Throws {@link Refusal}.
 */
export function readBody(
  req: http.IncomingMessage,
  maxBytes: number,
  { reservation }: { reservation?: Reservation } = {},
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const collector = new ChunkCollector();
    const refuse = (refusal: Refusal) => {
      // Discards the rest instead of closing, so that the caller can read the refusal.
      req.off("data", onData);
      req.resume();
      collector.take();
      reject(refusal);
    };
    const reserve = (bytes: number): boolean => {
      const missing = bytes - (reservation?.bytes ?? Infinity);
      return missing <= 0 || reservation!.reserve(missing);
    };
    const onData = (chunk: Buffer) => {
      const neededBytes = collector.size + chunk.length;
      if (neededBytes > maxBytes) {
        refuse(createTooLargeRefusal(maxBytes));
      } else if (reserve(neededBytes)) collector.add(chunk);
      else refuse(createNoMemoryRefusal());
    };
    const declaredBytes = Number(req.headers["content-length"] ?? 0);
    if (declaredBytes > maxBytes) {
      return refuse(createTooLargeRefusal(maxBytes));
    }
    if (!reserve(declaredBytes)) return refuse(createNoMemoryRefusal());
    req.on("data", onData);
    req.on("end", () => resolve(Buffer.concat(collector.take())));
    req.on(
      "error",
      () => reject(new Refusal("bad_request", "the request broke off")),
    );
    req.on(
      "close",
      () => reject(new Refusal("bad_request", "the request broke off")),
    );
  });
}

/** Limits of {@link discardBody}. */
export interface DiscardOptions {
  readonly maxMs?: number;
  readonly maxBytes?: number;
  /** Told of each chunk that was discarded. */
  readonly onDropped?: (bytes: number) => void;
}

/**
 * Reads the rest of a refused request and discards it, within limits on time and bytes.
 * A connection that is closed with unread bytes is reset, and the refusal is lost.
 */
export function discardBody(
  req: http.IncomingMessage,
  options: DiscardOptions = {},
): Promise<void> {
  const {
    maxMs = MAX_DISCARD_MS,
    maxBytes = MAX_DISCARD_BYTES,
    onDropped = () => {},
  } = options;
  // Its events have been emitted.
  if (req.closed) return Promise.resolve();
  return new Promise((resolve) => {
    let bytes = 0;
    const timer = setTimeout(() => finish(), maxMs);
    const finish = () => {
      clearTimeout(timer);
      resolve();
    };
    req.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      onDropped(chunk.length);
      if (bytes > maxBytes) finish();
    });
    req.once("end", finish);
    req.once("close", finish);
    req.on("error", finish);
  });
}

/** Parses JSON of at most `maxDepth` nested levels. Throws {@link Refusal}. */
export function parseBoundedJson(text: string, maxDepth: number): unknown {
  if (getJsonDepth(text, maxDepth) > maxDepth) {
    throw new Refusal(
      "bad_request",
      `JSON is nested deeper than ${maxDepth} levels`,
    );
  }
  try {
    return JSON.parse(text);
  } catch {
    throw new Refusal("bad_request", "the body is not JSON");
  }
}

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPENING_BRACKETS = new Set([0x5b, 0x7b]);
const CLOSING_BRACKETS = new Set([0x5d, 0x7d]);

/** Returns the nesting depth of a JSON text; stops counting above `limit`. */
export function getJsonDepth(text: string, limit: number): number {
  let depth = 0;
  let deepest = 0;
  let inString = false;
  for (let at = 0; at < text.length; at++) {
    const code = text.charCodeAt(at);
    if (inString) {
      if (code === BACKSLASH) at++;
      else if (code === QUOTE) inString = false;
      continue;
    }
    if (code === QUOTE) inString = true;
    else if (OPENING_BRACKETS.has(code)) deepest = Math.max(deepest, ++depth);
    else if (CLOSING_BRACKETS.has(code)) depth--;
    if (deepest > limit) break;
  }
  return deepest;
}

function createTooLargeRefusal(maxBytes: number): Refusal {
  return new Refusal(
    "body_too_large",
    `the body is larger than ${maxBytes} bytes`,
  );
}

function createNoMemoryRefusal(): Refusal {
  return new Refusal("overloaded", "too much in flight", {
    retryAfterMs: NO_MEMORY_RETRY_AFTER_MS,
  });
}
