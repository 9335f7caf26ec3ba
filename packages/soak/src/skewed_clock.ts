/**
 * Preloaded into a gateway: its time of day is wrong and jumps, as the machine's may.
 * `SOAK_CLOCK` holds the offset, and when and by how much it jumps, in milliseconds.
 * @module
 */
import process from "node:process";

const [offsetMs = 0, jumpAtMs = Infinity, jumpMs = 0] =
  (process.env.SOAK_CLOCK ?? "").split(",").filter(Boolean).map(Number);
const readClock = Date.now;
const startedAt = readClock();

Date.now = () => {
  const now = readClock();
  const hasJumped = now - startedAt > jumpAtMs;
  return now + offsetMs + (hasJumped ? jumpMs : 0);
};
