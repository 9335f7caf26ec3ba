/**
 * Passes the body of a response on to a caller as it comes, and no faster than the caller
 * reads it.
 * @module
 */
import type { Buffer } from "node:buffer";
import type * as http from "node:http";
import * as process from "node:process";
import { ChunkCollector, isResponseComplete } from "@bitternfall/connection";
import { getMessage } from "@bitternfall/errors";
import type { CallerResponse } from "./caller_response.ts";
import { dropChunk } from "./collector.ts";

/** How a body ended; what the caller gets after it is left to whoever passes it on. */
export type PumpEnd =
  /** All of it has been passed on. */
  | { readonly kind: "ended" }
  /** The connection failed, or what came can't be passed on. */
  | { readonly kind: "broken"; readonly reason: string }
  /** Nothing came within the longest gap, or not all within the timeout. */
  | { readonly kind: "silent" }
  /** The caller disconnected. */
  | { readonly kind: "gone" };

/** What of a chunk is passed on. */
export interface PumpedBytes {
  readonly bytes?: Buffer | undefined;
  /** Whether the sender is alive although there is nothing to pass on yet. */
  readonly isAlive?: boolean;
  /** Why nothing after these bytes can be passed on. */
  readonly failure?: string | undefined;
}

/** Options of {@link pumpBody}. */
export interface PumpOptions {
  readonly res: http.IncomingMessage;
  readonly callerResponse: CallerResponse;
  readonly callerSignal: AbortSignal;
  /** Chunks that were read already; emptied, so that they are not held for as long as the call. */
  readonly begun?: Buffer[];
  /** Timeout of the next bytes; it does not run while the caller does not read. */
  readonly getMaxGapMs?: () => number;
  /** Timeout of the whole body, also while the caller does not read. */
  readonly timeoutMs?: number;
  readonly transform?: (chunk: Buffer) => PumpedBytes;
  /** Whether a body that is silent is left paused, to be passed on by another call. */
  readonly keepsSilent?: boolean;
}

/** The shorter chunks of one read are passed on together. */
const SMALL_CHUNK_BYTES = 4096;

/** Passes on until the body ends, breaks off or times out, or the caller disconnects. */
export function pumpBody(options: PumpOptions): Promise<PumpEnd> {
  const { res, callerResponse, callerSignal, begun = [], getMaxGapMs } =
    options;
  const { timeoutMs, transform = passUnchanged, keepsSilent = false } = options;
  return new Promise((resolve) => {
    let gapTimer: NodeJS.Timeout | undefined;
    let isFinished = false;
    let isPaused = false;
    const collector = new ChunkCollector();
    const finish = (end: PumpEnd) => {
      if (isFinished) return;
      isFinished = true;
      clearTimeout(gapTimer);
      clearTimeout(timer);
      callerSignal.removeEventListener("abort", onCallerAbort);
      res.removeAllListeners("data");
      res.on("error", () => {});
      if (keepsSilent && end.kind === "silent") res.pause();
      else if (end.kind !== "ended") res.destroy();
      resolve(end);
    };
    const restartGapTimer = () => {
      clearTimeout(gapTimer);
      if (getMaxGapMs === undefined || isFinished || isPaused) return;
      gapTimer = setTimeout(() => finish({ kind: "silent" }), getMaxGapMs());
    };
    const waitUntilDrained = () => {
      if (isPaused) return;
      isPaused = true;
      // A slow caller must slow its server, not fill this VM's memory.
      res.pause();
      clearTimeout(gapTimer);
      void callerResponse.whenDrained().then(() => {
        isPaused = false;
        res.resume();
        restartGapTimer();
      });
    };
    const passOrThrow = (chunk: Buffer) => {
      const { bytes, isAlive = bytes !== undefined, failure } = transform(
        chunk,
      );
      dropChunk(chunk.length);
      if (isAlive) restartGapTimer();
      if (bytes !== undefined) {
        if (!callerResponse.write(bytes)) waitUntilDrained();
      }
      if (failure !== undefined) finish({ kind: "broken", reason: failure });
    };
    /** Passes a chunk on; an error of one response must not reach the event loop. */
    const pass = (chunk: Buffer) => {
      try {
        passOrThrow(chunk);
      } catch (err) {
        finish({ kind: "broken", reason: getMessage(err) });
      }
    };
    const passCollected = () => {
      if (isFinished) return;
      for (const chunk of collector.take()) {
        if (!isFinished) pass(chunk);
      }
    };
    /** Finishes once what has arrived is passed on. */
    const finishAfterRest = (end: PumpEnd) => {
      passCollected();
      finish(end);
    };
    const onCallerAbort = () => finish({ kind: "gone" });
    const timer = timeoutMs === undefined
      ? undefined
      : setTimeout(() => finish({ kind: "silent" }), timeoutMs);
    callerSignal.addEventListener("abort", onCallerAbort, { once: true });
    if (callerSignal.aborted) return onCallerAbort();
    if (res.destroyed) return finish({ kind: "broken", reason: "closed" });
    for (const chunk of begun.splice(0)) {
      if (!callerResponse.write(chunk)) waitUntilDrained();
    }
    res.on("data", (chunk: Buffer) => {
      if (chunk.length < SMALL_CHUNK_BYTES) {
        if (collector.size === 0) process.nextTick(passCollected);
        return collector.add(chunk);
      }
      passCollected();
      if (!isFinished) pass(chunk);
    });
    res.once("end", () =>
      finishAfterRest(
        isResponseComplete(res)
          ? { kind: "ended" }
          : { kind: "broken", reason: "ended midway" },
      ));
    res.once(
      "error",
      ({ message }) => finishAfterRest({ kind: "broken", reason: message }),
    );
    res.once(
      "close",
      () => finishAfterRest({ kind: "broken", reason: "closed" }),
    );
    if (isPaused) return;
    restartGapTimer();
    res.resume();
  });
}

function passUnchanged(bytes: Buffer): PumpedBytes {
  return { bytes };
}
