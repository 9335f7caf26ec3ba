/**
 * Seeded random number generator.
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const WARM_UP_DRAWS = 20;

/** Creates a generator of numbers in [0, 1) whose sequence depends only on `seed`. */
export function createRandom(seed: number): () => number {
  // With small seeds, the first values of the generator are far from uniform.
  const generator = xoroshiro128plus(Math.imul(seed, 0x9e3779b1) ^ 0x85ebca6b);
  for (let skipped = 0; skipped < WARM_UP_DRAWS; skipped++) {
    uniformFloat64(generator);
  }
  return () => uniformFloat64(generator);
}
