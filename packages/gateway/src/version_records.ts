/**
 * The software versions of a service's servers as a record in the object API: those that may
 * have begun streams which callers still take up. VMs that start again read there that a
 * version has served which they do not find any more.
 * @module
 */
import type { StreamRegistry } from "@bitternfall/dispatch-host";
import { usableItems } from "@bitternfall/peer";
import { MAX_NAME_LENGTH } from "@bitternfall/types";
import * as zod from "zod";
import type { ServiceRecordKind } from "./service_record_store.ts";

/** Far more than run at once; they fit into an object of 1 MB. */
const MAX_VERSIONS = 1000;

const recordSchema = zod.object({
  versions: usableItems(zod.string().max(MAX_NAME_LENGTH), {
    max: MAX_VERSIONS,
  }),
});

/** Stores the versions of a {@link StreamRegistry}. */
export class VersionRecords implements ServiceRecordKind {
  readonly name = "versions";
  readonly #registry: StreamRegistry;

  constructor(registry: StreamRegistry) {
    this.#registry = registry;
  }

  listServices(): Iterable<string> {
    return this.#registry.services;
  }

  export(service: string): unknown {
    return { versions: this.#registry.get(service).listVersions() };
  }

  isMissingFrom(service: string, stored: unknown): boolean {
    const versions = this.#registry.get(service).listVersions();
    const known = recordSchema.safeParse(stored).data?.versions ?? [];
    return known.length !== versions.length ||
      versions.some((version) => !known.includes(version));
  }

  reduce(stored: unknown): unknown {
    return recordSchema.safeParse(stored).data;
  }

  merge(service: string, stored: unknown): boolean {
    const parsed = recordSchema.safeParse(stored);
    if (!parsed.success) return false;
    this.#registry.get(service).addVersions(parsed.data.versions);
    return true;
  }

  forget(): void {
    // The record is written again with the versions that are known.
  }
}
