/**
 * Scenario files of `npm run experiment`; docs/EXPERIMENTS.md documents the format.
 * @module
 */
import * as zod from "zod";
import { readScenarioFile } from "./scenario_file.ts";

const range = zod.tuple([zod.int().min(1), zod.int().min(1)]);

const workspace = zod.strictObject({
  name: zod.string(),
  /** Relative share of the model requests. */
  share: zod.number().positive(),
  priority: zod.int().min(0).max(2).default(1),
  /** Tokens that all prompts of the workspace begin with. */
  sharedPrefixTokens: zod.int().min(0).default(0),
  /** Tokens after the shared prefix and of the answer, drawn log-uniformly. */
  promptTokens: range,
  outputTokens: range,
  /** Multiplies the workspace's share between two times, in seconds. */
  surge: zod.strictObject({
    from: zod.number(),
    to: zod.number(),
    factor: zod.number().positive(),
  }).optional(),
});

const disturbance = zod.strictObject({
  /** Server by number among those of its role, from 0. */
  server: zod.strictObject({
    role: zod.enum(["prefill", "decode"]),
    number: zod.int().min(0),
  }),
  at: zod.number().min(0),
  /** Repeats at this period in seconds, each time on the next server of the role. */
  every: zod.number().positive().optional(),
  /** Set at `at`, as the engine stand-in's control takes it. */
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
    /** Requests a second, joined by straight lines. */
    rates: zod.array(
      zod.strictObject({ at: zod.number().min(0), rate: zod.number().min(0) }),
    ).min(1),
    workspaces: zod.array(workspace).min(1),
    lookups: zod.number().min(0).default(0),
    registrations: zod.number().min(0).default(0),
  }),
  disturbances: zod.array(disturbance).default([]),
});

/** A checked scenario. */
export type ExperimentScenario = zod.infer<typeof schema>;
/** Callers of one workspace. */
export type WorkspaceLoad = zod.infer<typeof workspace>;

/** Reads a scenario. Throws an error that names every fault of the file. */
export function readExperimentScenario(file: string): ExperimentScenario {
  return readScenarioFile(file, schema);
}
