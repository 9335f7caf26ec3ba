/**
 * The small deployment that the integration tests share.
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

/** Key of the only caller. */
export const TEST_KEY = "key-of-a-test-caller";

/** Options of a test deployment. */
export interface TestDeploymentOptions extends Partial<DeploymentSpec> {
  readonly model?: ModelServiceFields;
  readonly prefills?: number;
  readonly decodes?: number;
  /** Parameters of all engines. */
  readonly parameters?: NonNullable<
    DeploymentSpec["engines"][string][number]["parameters"]
  >;
}

/** Starts entry VMs, engines and a plain service, with records in force. */
export async function startTestDeployment(
  options: TestDeploymentOptions = {},
): Promise<Deployment> {
  const { model = {}, prefills = 1, decodes = 2, parameters = {}, ...spec } =
    options;
  const zones = spec.zones ?? ["a", "b"];
  const zoneOf = (index: number) => zones[index % zones.length]!;
  const engines = [
    ...Array.from({ length: prefills }, (_, index) => ({
      id: `prefill-${index + 1}`,
      role: "prefill" as const,
      availabilityZone: zoneOf(index),
      parameters,
    })),
    ...Array.from({ length: decodes }, (_, index) => ({
      id: `decode-${index + 1}`,
      role: "decode" as const,
      availabilityZone: zoneOf(index),
      parameters,
    })),
  ];
  const services = {
    app: [0, 1].map((index) => ({
      id: `app-${index + 1}`,
      availabilityZone: zoneOf(index),
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

/** Number of streams that hold decode memory. */
export async function countHeld(deployment: Deployment): Promise<number> {
  let held = 0;
  for (const { id, role } of Object.values(deployment.spec.engines).flat()) {
    if (role !== "decode") continue;
    held += (await (await fetch(`${deployment.standIns[id]}/_held`))
      .json() as unknown[]).length;
  }
  return held;
}

/** Tags of the calls that truly ran on the plain service. */
export async function listRuns(deployment: Deployment): Promise<string[]> {
  const servers = Object.values(deployment.spec.services).flat();
  const ledgers = await Promise.all(
    servers.map(({ id }) =>
      deployment.readStandIn<{ tag: string }[]>(id, "_ledger")
    ),
  );
  return ledgers.flat().map((run) => run.tag);
}
