/**
 * Has the runtime collect the bytes of bodies that are no longer used. By itself it lets
 * tens of megabytes outside of its heap pile up, as it looks at the heap alone.
 * @module
 */
import * as v8 from "node:v8";
import * as vm from "node:vm";

type CollectGarbage = (options?: { type: "minor" | "major" }) => void;

/** Bytes of chunks after which the young generation is collected. */
const YOUNG_BYTES = 4_000_000;
/** Bytes of whole bodies after which everything is collected. */
const OLD_BYTES = 8_000_000;

let collectGarbage: CollectGarbage | undefined;
let youngBytes = 0;
let oldBytes = 0;

function collect(type: "minor" | "major"): void {
  if (collectGarbage === undefined) {
    v8.setFlagsFromString("--expose-gc");
    collectGarbage = vm.runInNewContext("gc") as CollectGarbage;
  }
  collectGarbage({ type });
}

/** Tells that chunks of a body have been used up, and the reads that they were parsed from. */
export function dropChunk(bytes: number): void {
  youngBytes += 2 * bytes;
  if (youngBytes < YOUNG_BYTES) return;
  youngBytes = 0;
  collect("minor");
}

/** Tells that a whole body is no longer used. */
export function dropBody(bytes: number): void {
  oldBytes += bytes;
  if (oldBytes < OLD_BYTES) return;
  oldBytes = 0;
  collect("major");
}
