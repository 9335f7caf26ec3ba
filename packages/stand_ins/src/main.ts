/**
 * Runs stand-ins in a separate process. The arguments are a JSON array of
 * {@link StandInSpec} and an optional random seed; the addresses by id are printed as
 * one line of JSON.
 * @module
 */
import process from "node:process";
import { EngineStandIn } from "./engine.ts";
import type { EngineParameters } from "./engine_model.ts";
import { createRandom } from "./random.ts";
import { PlatformStandIn } from "./platform.ts";
import { ServiceStandIn } from "./service.ts";

/** Specification of a stand-in to start. */
export interface StandInSpec {
  readonly kind: "platform" | "engine" | "service";
  readonly id: string;
  readonly role?: "prefill" | "decode";
  readonly parameters?: Partial<EngineParameters>;
  readonly port?: number;
}

async function startStandIn(spec: StandInSpec, seed: number): Promise<string> {
  const random = createRandom(seed);
  const { id, role = "decode", parameters = {}, port = 0 } = spec;
  const standIn = spec.kind === "platform"
    ? new PlatformStandIn({ random })
    : spec.kind === "engine"
    ? new EngineStandIn({ id, role, parameters, random })
    : new ServiceStandIn({ id, random });
  await standIn.listen(port);
  return standIn.address;
}

const specs = JSON.parse(process.argv[2] ?? "[]") as StandInSpec[];
const seed = Number(process.argv[3] ?? 1);
const addresses: { [id: string]: string } = {};
for (const [index, spec] of specs.entries()) {
  addresses[spec.id] = await startStandIn(spec, seed * 1000 + index);
}
process.stdout.write(JSON.stringify(addresses) + "\n");
process.on("SIGTERM", () => process.exit(0));
process.on("disconnect", () => process.exit(0));
