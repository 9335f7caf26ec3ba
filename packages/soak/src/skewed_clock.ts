/**
 * Preloaded into a gateway process to skew `Date.now()`, as a wrong system clock would.
 * `SOAK_CLOCK` is "offset,jump time,jump": the constant offset, the time since the start at
 * which the clock jumps, and by how much, each in milliseconds.
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
