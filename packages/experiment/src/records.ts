/**
 * Builds and applies the configuration records of test deployments.
 * @module
 */
import * as crypto from "node:crypto";
import type { Deployment } from "./deployment.ts";

/** A caller of a test deployment and what its office is assigned to. */
export interface TestCaller {
  readonly office: string;
  readonly workspace: string;
  /** Name of its routing record. */
  readonly routing: string;
  /** Bearer key that the caller sends. */
  readonly key: string;
}

/** Optional fields of a ModelService record. */
export interface ModelServiceFields {
  readonly targets?: { firstOutputMs: number; betweenOutputsMs: number };
  readonly weights?: { goodput: number; wastedPrefill: number };
  readonly limits?: object;
  readonly adapters?: readonly string[];
  readonly checksFencing?: boolean;
  readonly balancePools?: boolean;
}

/** Builds the ModelService record for the deployment's engines of that name. */
export function createModelService(
  deployment: Deployment,
  name: string,
  fields: ModelServiceFields = {},
): ApiRecord {
  const servers = (deployment.spec.engines[name] ?? []).map((
    { id, role, availabilityZone, cell },
  ) => ({
    id,
    role,
    availabilityZone,
    address: deployment.getAddress(id),
    ...(cell === undefined ? {} : { cell }),
  }));
  return {
    kind: "ModelService",
    schemaVersion: 1,
    name,
    model: name,
    servers,
    ...fields,
  };
}

/** Builds the PlainService record for the deployment's servers of that name. */
export function createPlainService(
  deployment: Deployment,
  name: string,
  fields: { timeoutMs?: number } = {},
): ApiRecord {
  const servers = (deployment.spec.services[name] ?? []).map((
    { id, availabilityZone },
  ) => ({
    id,
    availabilityZone,
    address: deployment.getAddress(id),
  }));
  return { kind: "PlainService", schemaVersion: 1, name, servers, ...fields };
}

/** Builds the Assignment record that maps a caller's key to its workspace and routing record. */
export function createAssignment(caller: TestCaller): ApiRecord {
  const { office: name, workspace, routing, key } = caller;
  const keySha256 = [crypto.createHash("sha256").update(key).digest("hex")];
  return {
    kind: "Assignment",
    schemaVersion: 1,
    name,
    workspace,
    routing,
    keySha256,
  };
}

/** A record as the operators' API accepts it. */
export interface ApiRecord {
  readonly kind: string;
  readonly name: string;
  readonly [field: string]: unknown;
}

/** Applies records in order, each once every running VM has applied the one before. */
export async function applyRecords(
  deployment: Deployment,
  records: readonly ApiRecord[],
): Promise<void> {
  for (const record of records) {
    const version = await deployment.applyRecord(record);
    await deployment.waitForRecord(record, version);
  }
}
