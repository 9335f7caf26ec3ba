/**
 * Scenario files of `npm run experiment`; docs/EXPERIMENTS.md documents the format.
 * @module
 */
import * as zod from "zod";
import { readScenarioFile } from "./scenario_file.ts";

/** Minimum and maximum number of tokens. */
const tokenRange = zod.tuple([zod.int().min(1), zod.int().min(1)]);

const workspace = zod.strictObject({
  name: zod.string(),
  /** Weight of the workspace in the model requests, relative to the other workspaces. */
  share: zod.number().positive(),
  priority: zod.int().min(0).max(2).default(1),
  /** Length of the prefix that all prompts of the workspace share. */
  sharedPrefixTokens: zod.int().min(0).default(0),
  /** Length of the prompt after the shared prefix; log-uniformly distributed. */
  promptTokens: tokenRange,
  /** Length of the response; log-uniformly distributed. */
  outputTokens: tokenRange,
  /** Multiplies the workspace's share from `from` until `to`, in seconds since the start. */
  surge: zod.strictObject({
    from: zod.number(),
    to: zod.number(),
    factor: zod.number().positive(),
  }).optional(),
});

const disturbance = zod.strictObject({
  /** Zero-based number of a server among those of its role; larger numbers wrap around. */
  server: zod.strictObject({
    role: zod.enum(["prefill", "decode"]),
    number: zod.int().min(0),
  }),
  /** Seconds since the start. */
  at: zod.number().min(0),
  /** Repeats with this period in seconds, each time on the next server of the role. */
  every: zod.number().positive().optional(),
  /** Faults to set, in the format of the engine stand-in's control endpoint. */
  set: zod.record(zod.string(), zod.union([zod.number(), zod.boolean()])),
});

const schema = zod.strictObject({
  name: zod.string(),
  description: zod.string().default(""),
  zones: zod.array(zod.string()).min(1),
  daemons: zod.int().min(1).max(16),
  model: zod.strictObject({
    service: zod.string(),
    prefills: zod.int().min(1),
    decodes: zod.int().min(1),
    parameters: zod.record(
      zod.string(),
      zod.union([zod.number(), zod.boolean()]),
    ).default({}),
    targets: zod.strictObject({
      firstOutputMs: zod.int(),
      betweenOutputsMs: zod.int(),
    }),
    weights: zod.strictObject({
      goodput: zod.number(),
      wastedPrefill: zod.number(),
    }).optional(),
    limits: zod.record(zod.string(), zod.int()).default({}),
    balancePools: zod.boolean().default(false),
  }),
  service: zod.strictObject({ name: zod.string(), servers: zod.int().min(1) })
    .optional(),
  load: zod.strictObject({
    /** Model requests per second at points in time, interpolated linearly between them. */
    rates: zod.array(
      zod.strictObject({ at: zod.number().min(0), rate: zod.number().min(0) }),
    ).min(1),
    workspaces: zod.array(workspace).min(1),
    /** Lookups of the plain service per second. */
    lookups: zod.number().min(0).default(0),
    /** Registrations (calls with an idempotency key) per second. */
    registrations: zod.number().min(0).default(0),
  }),
  disturbances: zod.array(disturbance).default([]),
});

/** A validated scenario. */
export type ExperimentScenario = zod.infer<typeof schema>;
/** Load of one workspace. */
export type WorkspaceLoad = zod.infer<typeof workspace>;

/** Reads and validates a scenario file. Throws an error that lists every invalid field. */
export function readExperimentScenario(file: string): ExperimentScenario {
  return readScenarioFile(file, schema);
}
