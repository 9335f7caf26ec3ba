/**
 * Passes the body of a response on to a caller as it comes, and no faster than the caller
 * reads it.
 * @module
 */
import type { Buffer } from "node:buffer";
import type * as http from "node:http";
import { isResponseComplete } from "@bitternfall/connection";
import type { CallerResponse } from "./caller_response.ts";

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
  /** Why nothing after these bytes can be passed on. */
  readonly failure?: string | undefined;
}

/** Options of {@link pumpBody}. */
export interface PumpOptions {
  readonly res: http.IncomingMessage;
  readonly callerResponse: CallerResponse;
  readonly callerSignal: AbortSignal;
  /** Chunks that were read already. */
  readonly begun?: readonly Buffer[];
  /** Timeout of the next bytes; it does not run while the caller does not read. */
  readonly getMaxGapMs?: () => number;
  /** Timeout of the whole body, also while the caller does not read. */
  readonly timeoutMs?: number;
  readonly transform?: (chunk: Buffer) => PumpedBytes;
  /** Whether a body that is silent is left paused, to be passed on by another call. */
  readonly keepsSilent?: boolean;
}

/** Passes on until the body ends, breaks off or times out, or the caller disconnects. */
export function pumpBody(options: PumpOptions): Promise<PumpEnd> {
  const { res, callerResponse, callerSignal, begun = [], getMaxGapMs } =
    options;
  const { timeoutMs, transform = passUnchanged, keepsSilent = false } = options;
  return new Promise((resolve) => {
    let gapTimer: NodeJS.Timeout | undefined;
    let isFinished = false;
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
      if (getMaxGapMs === undefined || isFinished) return;
      gapTimer = setTimeout(() => finish({ kind: "silent" }), getMaxGapMs());
    };
    const waitUntilDrained = () => {
      // A slow caller must slow its server, not fill this VM's memory.
      res.pause();
      clearTimeout(gapTimer);
      void callerResponse.whenDrained().then(() => {
        res.resume();
        restartGapTimer();
      });
    };
    const onCallerAbort = () => finish({ kind: "gone" });
    const timer = timeoutMs === undefined
      ? undefined
      : setTimeout(() => finish({ kind: "silent" }), timeoutMs);
    callerSignal.addEventListener("abort", onCallerAbort, { once: true });
    if (callerSignal.aborted) return onCallerAbort();
    if (res.destroyed) return finish({ kind: "broken", reason: "closed" });
    let isDrained = true;
    for (const chunk of begun) isDrained = callerResponse.write(chunk);
    res.on("data", (chunk: Buffer) => {
      const { bytes, failure } = transform(chunk);
      if (bytes !== undefined) restartGapTimer();
      isDrained = bytes === undefined || callerResponse.write(bytes);
      if (failure !== undefined) {
        finish({ kind: "broken", reason: failure });
      } else if (!isDrained) waitUntilDrained();
    });
    res.once("end", () =>
      finish(
        isResponseComplete(res)
          ? { kind: "ended" }
          : { kind: "broken", reason: "ended midway" },
      ));
    res.once(
      "error",
      ({ message }) => finish({ kind: "broken", reason: message }),
    );
    res.once("close", () => finish({ kind: "broken", reason: "closed" }));
    restartGapTimer();
    if (isDrained) res.resume();
    else waitUntilDrained();
  });
}

function passUnchanged(bytes: Buffer): PumpedBytes {
  return { bytes };
}
