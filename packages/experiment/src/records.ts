/**
 * Records of the test deployments.
 * @module
 */
import * as crypto from "node:crypto";
import type { Deployment } from "./deployment.ts";

/** A caller of a test deployment. */
export interface TestCaller {
  readonly office: string;
  readonly workspace: string;
  readonly routing: string;
  /** Bearer key. */
  readonly key: string;
}

/** Fields of a model service that a deployment may set. */
export interface ModelServiceFields {
  readonly targets?: { firstOutputMs: number; betweenOutputsMs: number };
  readonly weights?: { goodput: number; wastedPrefill: number };
  readonly limits?: object;
  readonly adapters?: readonly string[];
  readonly checksFencing?: boolean;
  readonly balancePools?: boolean;
}

/** Record of a model service over the deployment's engines. */
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

/** Record of a plain service over the deployment's servers. */
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

/** Record that binds a caller. */
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

/** A record as it goes over the operators' API. */
export interface ApiRecord {
  readonly kind: string;
  readonly name: string;
  readonly [field: string]: unknown;
}

/** Applies records in order and waits until the last is in force everywhere. */
export async function applyRecords(
  deployment: Deployment,
  records: readonly ApiRecord[],
): Promise<void> {
  for (const record of records) {
    const version = await deployment.applyRecord(record);
    await deployment.waitForRecord(record, version);
  }
}
