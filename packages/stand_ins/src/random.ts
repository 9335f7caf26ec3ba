/**
 * Seeded random numbers.
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const WARM_UP = 20;

/** A generator of numbers in [0, 1) that always gives the same series for a seed. */
export function createRandom(seed: number): () => number {
  // Small seeds leave the generator's first values far from uniform.
  const generator = xoroshiro128plus(Math.imul(seed, 0x9e3779b1) ^ 0x85ebca6b);
  for (let skipped = 0; skipped < WARM_UP; skipped++) {
    uniformFloat64(generator);
  }
  return () => uniformFloat64(generator);
}
