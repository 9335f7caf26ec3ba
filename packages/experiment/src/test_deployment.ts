/**
 * Starts the small deployment that the integration tests use.
 * @module
 */
import { Deployment, type DeploymentSpec } from "./deployment.ts";
import {
  applyRecords,
  createAssignment,
  createModelService,
  createPlainService,
  type ModelServiceFields,
} from "./records.ts";

/** Bearer key of the only caller, office-1. */
export const TEST_KEY = "key-of-a-test-caller";

/** Options of a test deployment. */
export interface TestDeploymentOptions extends Partial<DeploymentSpec> {
  /** Fields of the ModelService record. */
  readonly model?: ModelServiceFields;
  /** Number of prefill engines. */
  readonly prefills?: number;
  /** Number of decode engines. */
  readonly decodes?: number;
  /** Parameters of every engine. */
  readonly parameters?: NonNullable<
    DeploymentSpec["engines"][string][number]["parameters"]
  >;
}

/** Starts entry VMs, engines and a plain service, and applies their records. */
export async function startTestDeployment(
  options: TestDeploymentOptions = {},
): Promise<Deployment> {
  const { model = {}, prefills = 1, decodes = 2, parameters = {}, ...spec } =
    options;
  const zones = spec.zones ?? ["a", "b"];
  const getZone = (index: number) => zones[index % zones.length]!;
  const engines = [
    ...Array.from({ length: prefills }, (_, index) => ({
      id: `prefill-${index + 1}`,
      role: "prefill" as const,
      availabilityZone: getZone(index),
      parameters,
    })),
    ...Array.from({ length: decodes }, (_, index) => ({
      id: `decode-${index + 1}`,
      role: "decode" as const,
      availabilityZone: getZone(index),
      parameters,
    })),
  ];
  const services = {
    app: [0, 1].map((index) => ({
      id: `app-${index + 1}`,
      availabilityZone: getZone(index),
    })),
  };
  const deployment = await Deployment.start({
    daemons: 2,
    engines: { lm: engines },
    services,
    ...spec,
    zones,
  });
  const targets = { firstOutputMs: 3000, betweenOutputsMs: 60 };
  await applyRecords(deployment, [
    createModelService(deployment, "lm", { targets, ...model }),
    createPlainService(deployment, "app", { timeoutMs: 1000 }),
    {
      kind: "RoutingRecord",
      schemaVersion: 2,
      name: "main",
      models: [{ model: "planner", service: "lm" }],
      services: [{
        service: "app",
        operations: [{
          methods: ["POST"],
          path: "/orders",
          repeatable: false,
          keyRequired: true,
        }],
      }],
    },
    createAssignment({
      office: "office-1",
      workspace: "w",
      routing: "main",
      key: TEST_KEY,
    }),
  ]);
  return deployment;
}

/** Counts the streams that hold memory on decode engines. */
export async function countHeldStreams(
  deployment: Deployment,
): Promise<number> {
  let heldCount = 0;
  for (const { id, role } of Object.values(deployment.spec.engines).flat()) {
    if (role !== "decode") continue;
    heldCount += (await (await fetch(`${deployment.standIns[id]}/_held`))
      .json() as unknown[]).length;
  }
  return heldCount;
}

/** Returns the tags of the calls that the plain service ran, from the servers' ledgers. */
export async function listServiceRuns(
  deployment: Deployment,
): Promise<string[]> {
  const servers = Object.values(deployment.spec.services).flat();
  const ledgers = await Promise.all(
    servers.map(({ id }) =>
      deployment.readStandIn<{ tag: string }[]>(id, "_ledger")
    ),
  );
  return ledgers.flat().map((run) => run.tag);
}
