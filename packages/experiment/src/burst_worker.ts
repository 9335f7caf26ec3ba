/**
 * Worker thread: sends one burst of large bodies, and posts what the callers got.
 * @module
 */
import { Buffer } from "node:buffer";
import { parentPort, workerData } from "node:worker_threads";
import { postAndRead } from "./heavy_callers.ts";

/** What a worker is told to send. */
export interface Burst {
  readonly port: number;
  readonly callers: number;
  readonly bodyBytes: number;
}

const { port, callers, bodyBytes } = workerData as Burst;
const body = Buffer.alloc(bodyBytes, "b");
parentPort?.postMessage(
  await Promise.all(
    Array.from(
      { length: callers },
      (_, index) => postAndRead({ port, id: `big-${index}`, body }),
    ),
  ),
);
