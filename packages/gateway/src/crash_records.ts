/**
 * The evidence on crashing prompts as a record in the object API. An operator who removes
 * the object lifts the service's verdicts.
 * @module
 */
import { type CrashRecord, EMPTY_CRASH_RECORD } from "@bitternfall/dispatch";
import {
  type CrashRegistry,
  decodeCrashRecord,
  encodeCrashRecord,
} from "@bitternfall/dispatch-host";
import { METHODS } from "@bitternfall/peer";
import * as zod from "zod";
import type { ServiceRecordKind } from "./service_record_store.ts";

const [, reportsSchema, verdictsSchema, clearedSchema] =
  METHODS["crashes.push"].params.def.items;
const recordSchema = zod.object({
  reports: reportsSchema,
  verdicts: verdictsSchema,
  cleared: clearedSchema,
});

/** Name of this kind of record. */
export const CRASHES = "crashes";

/** Stores the evidence of a {@link CrashRegistry}. */
export class CrashRecords implements ServiceRecordKind {
  readonly name = CRASHES;
  readonly #registry: CrashRegistry;

  constructor(registry: CrashRegistry) {
    this.#registry = registry;
  }

  listServices(): Iterable<string> {
    return this.#registry.services;
  }

  export(service: string): unknown {
    return formatCrashRecord(this.#registry.get(service).export());
  }

  isMissingFrom(service: string, stored: unknown): boolean {
    const record = parseCrashRecord(stored) ?? EMPTY_CRASH_RECORD;
    return this.#registry.get(service).isMissingFrom(record);
  }

  reduce(stored: unknown): unknown {
    return recordSchema.safeParse(stored).data;
  }

  merge(service: string, stored: unknown): boolean {
    const record = parseCrashRecord(stored);
    if (record === undefined) return false;
    this.#registry.merge(service, record);
    return true;
  }

  forget(service: string): void {
    this.#registry.forget(service);
  }
}

/** Returns a record as it is stored. */
export function formatCrashRecord(record: CrashRecord): unknown {
  const [reports, verdicts, cleared] = encodeCrashRecord(record);
  return { reports, verdicts, cleared };
}

/** Reads a stored record; undefined if it is malformed. */
export function parseCrashRecord(stored: unknown): CrashRecord | undefined {
  const parsed = recordSchema.safeParse(stored);
  if (!parsed.success) return undefined;
  const { reports, verdicts, cleared } = parsed.data;
  return decodeCrashRecord([reports, verdicts, cleared]);
}
