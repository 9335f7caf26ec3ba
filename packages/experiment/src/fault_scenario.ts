/**
 * Scenario files of `npm run faults`; docs/FAULTS.md documents the format.
 * @module
 */
import * as zod from "zod";
import { readScenarioFile } from "./scenario_file.ts";

/** Kinds of fault that a scenario can list. */
export enum FaultKind {
  KillEntry = "kill-entry",
  KillDispatcherAndEntry = "kill-dispatcher-and-entry",
  PauseEntry = "pause-entry",
  DrainEntry = "drain-entry",
  KillZone = "kill-zone",
  SilencePeers = "silence-peers",
  SilenceEngine = "silence-engine",
  SilenceService = "silence-service",
  SilencePlatform = "silence-platform",
  ResetEngine = "reset-engine",
  ResetPeers = "reset-peers",
  DelayEngine = "delay-engine",
  CrashEngine = "crash-engine",
  FreezeEngine = "freeze-engine",
  FailingEngine = "failing-engine",
  StoreDown = "store-down",
  StoreSlow = "store-slow",
  StoreLimited = "store-limited",
  LoseStoreReplies = "lose-store-replies",
  SilentWatch = "silent-watch",
  LoseServiceReplies = "lose-service-replies",
  SlowService = "slow-service",
  LeavingUpstream = "leaving-upstream",
  LoseCancels = "lose-cancels",
  DoubleEvents = "double-events",
  ConfigRace = "config-race",
}

const engineSchema = zod.strictObject({
  id: zod.string(),
  role: zod.enum(["prefill", "decode"]),
  availabilityZone: zod.string(),
  parameters: zod.record(zod.string(), zod.union([zod.number(), zod.boolean()]))
    .optional(),
});
const serverSchema = zod.strictObject({
  id: zod.string(),
  availabilityZone: zod.string(),
});

const schema = zod.strictObject({
  name: zod.string(),
  zones: zod.array(zod.string()).min(1),
  daemons: zod.int().min(1).max(16),
  engines: zod.array(engineSchema).min(2),
  services: zod.array(serverSchema).min(1),
  /** Requests per second by kind. */
  load: zod.strictObject({
    models: zod.number().min(0),
    lookups: zod.number().min(0),
    claims: zod.number().min(0),
    /** Share of claims and of model requests that carry an idempotency key. */
    keyed: zod.number().min(0).max(1).default(0.7),
    /** Share of model callers that may disconnect before the response is complete. */
    leaving: zod.number().min(0).max(1).default(0.15),
  }),
  /** Record changes per second. */
  changes: zod.number().min(0).default(0.5),
  faults: zod.strictObject({
    /** Faults per second. */
    rate: zod.number().min(0),
    kinds: zod.array(zod.enum(FaultKind)).min(1),
    /** Shortest and longest duration of a fault. */
    lastMs: zod.tuple([zod.int(), zod.int()]).default([500, 3000]),
  }),
});

/** A validated scenario. */
export type FaultScenario = zod.infer<typeof schema>;

/** Reads a scenario. Throws an error that lists every invalid field of the file. */
export function readFaultScenario(file: string): FaultScenario {
  return readScenarioFile(file, schema);
}
