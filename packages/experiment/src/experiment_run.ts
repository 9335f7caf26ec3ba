/**
 * Runs the trace of an experiment against a deployment that uses one dispatch policy.
 * @module
 */
import * as crypto from "node:crypto";
import {
  createRandom,
  type EngineLedger,
  type EngineParameters,
} from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { callModel, callService } from "./client.ts";
import { Deployment, type EngineSpec } from "./deployment.ts";
import type { ModelRequestOutcome, RunResults } from "./experiment_metrics.ts";
import type { ExperimentScenario } from "./experiment_scenario.ts";
import { getOfflineBound } from "./offline_bound.ts";
import {
  applyRecords,
  createAssignment,
  createModelService,
  createPlainService,
} from "./records.ts";
import { createPrompt, drawTrace } from "./trace.ts";

/** Options of one run. */
export interface ExperimentRunOptions {
  readonly policy: string;
  readonly seed: number;
  readonly seconds: number;
  /** Overrides settings of the entry VMs. */
  readonly settings?: object;
}

/** Share of the lookups sent directly to a server, as the baseline of the router's latency. */
const DIRECT_LOOKUP_SHARE = 0.25;
/** The same for all requests, so that the router can't derive the response length from it. */
const MAX_TOKENS = 512;
const MODEL_NAME = "model";
/** Responses that are not complete this long after the end of the run count as failed. */
const RESPONSE_GRACE_MS = 20_000;

/** Runs a scenario once. */
export async function runExperiment(
  scenario: ExperimentScenario,
  options: ExperimentRunOptions,
): Promise<RunResults> {
  const { policy, seed, seconds } = options;
  const deployment = await startDeployment(scenario, options);
  try {
    const load = new ExperimentLoad(deployment, { scenario, seed });
    const disturbanceStop = new AbortController();
    const disturbances = applyDisturbances(deployment, {
      scenario,
      signal: disturbanceStop.signal,
    });
    const trace = drawTrace(scenario, { seed, seconds });
    const deadline = AbortSignal.timeout(seconds * 1000 + RESPONSE_GRACE_MS);
    const serviceCalls = load.sendServiceCalls({ seconds });
    const modelOutcomes = await Promise.all(
      trace.map((request) => load.sendModelRequest(request, deadline)),
    );
    await serviceCalls;
    disturbanceStop.abort();
    await disturbances;
    const engineLedgers = await Promise.all(
      deployment.spec.engines[scenario.model.service]!.map(({ id }) =>
        deployment.readStandIn<EngineLedger>(id, "_ledger")
      ),
    );
    const bound = getOfflineBound(scenario, { trace, seconds });
    const { lookupsMs, directLookupsMs, lookupsFailed } = load;
    return {
      policy,
      seed,
      seconds,
      modelOutcomes,
      lookupsMs,
      directLookupsMs,
      lookupsFailed,
      engineLedgers,
      bound,
    };
  } finally {
    await deployment.stop();
  }
}

/** Sends the requests of one run and collects the results. */
class ExperimentLoad {
  readonly lookupsMs: number[] = [];
  readonly directLookupsMs: number[] = [];
  lookupsFailed = 0;
  readonly #deployment: Deployment;
  readonly #scenario: ExperimentScenario;
  readonly #random: () => number;
  readonly #startedAt = performance.now();

  constructor(
    deployment: Deployment,
    options: { scenario: ExperimentScenario; seed: number },
  ) {
    this.#deployment = deployment;
    this.#scenario = options.scenario;
    // The trace uses the seed itself, so an offset keeps these draws independent of it.
    this.#random = createRandom(options.seed + 17);
  }

  async sendModelRequest(
    request: ModelRequestOutcome["request"],
    signal: AbortSignal,
  ): Promise<ModelRequestOutcome> {
    const url = this.#pickVm();
    await sleep(request.atMs - (performance.now() - this.#startedAt));
    const result = await callModel({
      url,
      key: getKey(request.workspace),
      model: MODEL_NAME,
      prompt: createPrompt(request),
      maxTokens: MAX_TOKENS,
      signal,
    });
    return { request, result };
  }

  /**
   * Sends lookups and registrations at their rates until the end of the run. A share of the
   * lookups bypasses the router for comparison.
   */
  async sendServiceCalls(options: { seconds: number }): Promise<void> {
    const { service, load } = this.#scenario;
    if (service === undefined) return;
    const calls: Promise<void>[] = [];
    const endsAt = this.#startedAt + options.seconds * 1000;
    const callsPerSecond = load.lookups + load.registrations;
    while (callsPerSecond > 0 && performance.now() < endsAt) {
      await sleep(-Math.log(1 - this.#random()) / callsPerSecond * 1000);
      const isLookup = this.#random() * callsPerSecond < load.lookups;
      calls.push(
        isLookup
          ? this.#sendLookup(service.name)
          : this.#sendRegistration(service.name),
      );
    }
    await Promise.all(calls);
  }

  async #sendLookup(service: string): Promise<void> {
    const [firstServer] = this.#deployment.spec.services[service]!;
    if (this.#random() < DIRECT_LOOKUP_SHARE) {
      const startedAt = performance.now();
      await (await fetch(
        `${this.#deployment.getAddress(firstServer!.id)}/status`,
      ))
        .text();
      this.directLookupsMs.push(performance.now() - startedAt);
      return;
    }
    const key = getKey(this.#scenario.load.workspaces[0]!.name);
    const result = await callService({
      url: this.#pickVm(),
      key,
      path: `/${service}/status`,
      tag: "lookup",
    });
    if (result.whole) this.lookupsMs.push(result.totalMs);
    else this.lookupsFailed++;
  }

  async #sendRegistration(service: string): Promise<void> {
    const key = getKey(this.#scenario.load.workspaces[0]!.name);
    const idempotencyKey = crypto.randomUUID();
    const call = {
      url: this.#pickVm(),
      key,
      path: `/${service}/claims`,
      method: "POST",
      body: "{}",
      tag: "claim",
    };
    await callService({ ...call, idempotencyKey });
  }

  #pickVm(): string {
    const { vms } = this.#deployment;
    return vms[Math.floor(this.#random() * vms.length)]!.callerUrl;
  }
}

async function startDeployment(
  scenario: ExperimentScenario,
  options: ExperimentRunOptions,
): Promise<Deployment> {
  const { model, service, zones, daemons, load } = scenario;
  const getZone = (index: number) => zones[index % zones.length]!;
  const parameters = model.parameters as Partial<EngineParameters>;
  const createEngines = (role: EngineSpec["role"], count: number) =>
    Array.from({ length: count }, (_, index): EngineSpec => ({
      id: `${role}-${index + 1}`,
      role,
      availabilityZone: getZone(index),
      parameters,
    }));
  const services = service === undefined ? {} : {
    [service.name]: Array.from({ length: service.servers }, (_, index) => ({
      id: `${service.name}-${index + 1}`,
      availabilityZone: getZone(index),
    })),
  };
  const deployment = await Deployment.start({
    zones,
    daemons,
    engines: {
      [model.service]: [
        ...createEngines("prefill", model.prefills),
        ...createEngines("decode", model.decodes),
      ],
    },
    services,
    seed: options.seed,
    settings: {
      dispatch: { policy: options.policy },
      log: { level: "warn" },
      ...options.settings,
    },
    engineProcesses: 3,
  });
  const { targets, weights, limits, balancePools } = model;
  const fields = {
    targets,
    limits,
    balancePools,
    ...(weights === undefined ? {} : { weights }),
  };
  await applyRecords(deployment, [
    createModelService(deployment, model.service, fields),
    ...service === undefined
      ? []
      : [createPlainService(deployment, service.name)],
    ...load.workspaces.flatMap(({ name, priority }) => [
      {
        kind: "RoutingRecord",
        schemaVersion: 2,
        name,
        models: [{ model: MODEL_NAME, service: model.service, priority }],
        services: service === undefined ? [] : [{ service: service.name }],
      },
      createAssignment({
        office: name,
        workspace: name,
        routing: name,
        key: getKey(name),
      }),
    ]),
  ]);
  return deployment;
}

/** Applies the scenario's disturbances to the engines until the signal aborts. */
async function applyDisturbances(
  deployment: Deployment,
  options: { scenario: ExperimentScenario; signal: AbortSignal },
): Promise<void> {
  const { scenario, signal } = options;
  const engines = deployment.spec.engines[scenario.model.service]!;
  await Promise.all(
    scenario.disturbances.map(async ({ server, at, every, set }) => {
      const roleEngines = engines.filter((engine) =>
        engine.role === server.role
      );
      await sleep(at * 1000, signal);
      for (let serverIndex = server.number; !signal.aborted; serverIndex++) {
        await deployment.setFaults(
          roleEngines[serverIndex % roleEngines.length]!.id,
          set,
        );
        if (every === undefined) return;
        await sleep(every * 1000, signal);
      }
    }),
  );
}

function getKey(workspace: string): string {
  return `key-of-${workspace}`;
}
