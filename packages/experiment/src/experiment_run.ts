/**
 * Runs a trace against a deployment with one policy.
 * @module
 */
import * as crypto from "node:crypto";
import { createRandom, type EngineParameters } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { callModel, callService } from "./client.ts";
import { Deployment, type EngineSpec } from "./deployment.ts";
import type {
  EngineWork,
  ModelOutcome,
  RunResults,
} from "./experiment_metrics.ts";
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
  /** Goes over the settings of the entry VMs. */
  readonly settings?: object;
}

const DIRECT_SHARE = 0.25;
/** What callers allow; the router must not learn the answer's length from it. */
const MAX_TOKENS = 512;
const MODEL_NAME = "model";
/** Answers that have not come by then count as failed. */
const LAST_ANSWER_MS = 20_000;

/** Runs a scenario once. */
export async function runExperiment(
  scenario: ExperimentScenario,
  options: ExperimentRunOptions,
): Promise<RunResults> {
  const { policy, seed, seconds } = options;
  const deployment = await startDeployment(scenario, options);
  try {
    const load = new ExperimentLoad(deployment, { scenario, seed });
    const stop = new AbortController();
    const disturbing = disturb(deployment, { scenario, signal: stop.signal });
    const trace = drawTrace(scenario, { seed, seconds });
    const deadline = AbortSignal.timeout(seconds * 1000 + LAST_ANSWER_MS);
    const sending = load.sendLookups({ seconds });
    const models = await Promise.all(
      trace.map((request) => load.sendModel(request, deadline)),
    );
    await sending;
    stop.abort();
    await disturbing;
    const engines = await Promise.all(
      deployment.spec.engines[scenario.model.service]!.map(({ id }) =>
        deployment.readStandIn<EngineWork>(id, "_ledger")
      ),
    );
    const bound = getOfflineBound(scenario, { trace, seconds });
    const { lookups, directLookups, lookupsFailed } = load;
    return {
      policy,
      seed,
      seconds,
      models,
      lookups,
      directLookups,
      lookupsFailed,
      engines,
      bound,
    };
  } finally {
    await deployment.stop();
  }
}

/** Callers of one run. */
class ExperimentLoad {
  readonly lookups: number[] = [];
  readonly directLookups: number[] = [];
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
    this.#random = createRandom(options.seed + 17);
  }

  async sendModel(
    request: ModelOutcome["request"],
    signal: AbortSignal,
  ): Promise<ModelOutcome> {
    const url = this.#pickVm();
    await sleep(request.at - (performance.now() - this.#startedAt));
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

  /** Sends lookups and registrations at their rates, and some lookups directly for comparison. */
  async sendLookups(options: { seconds: number }): Promise<void> {
    const { service, load } = this.#scenario;
    if (service === undefined) return;
    const calls: Promise<void>[] = [];
    const endsAt = this.#startedAt + options.seconds * 1000;
    const total = load.lookups + load.registrations;
    while (total > 0 && performance.now() < endsAt) {
      await sleep(-Math.log(1 - this.#random()) / total * 1000);
      const isLookup = this.#random() * total < load.lookups;
      calls.push(
        isLookup
          ? this.#sendLookup(service.name)
          : this.#register(service.name),
      );
    }
    await Promise.all(calls);
  }

  async #sendLookup(service: string): Promise<void> {
    const [first] = this.#deployment.spec.services[service]!;
    if (this.#random() < DIRECT_SHARE) {
      const startedAt = performance.now();
      await (await fetch(`${this.#deployment.getAddress(first!.id)}/status`))
        .text();
      this.directLookups.push(performance.now() - startedAt);
      return;
    }
    const key = getKey(this.#scenario.load.workspaces[0]!.name);
    const result = await callService({
      url: this.#pickVm(),
      key,
      path: `/${service}/status`,
      tag: "lookup",
    });
    if (result.whole) this.lookups.push(result.totalMs);
    else this.lookupsFailed++;
  }

  async #register(service: string): Promise<void> {
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
  const zoneOf = (index: number) => zones[index % zones.length]!;
  const parameters = model.parameters as Partial<EngineParameters>;
  const createEngines = (role: EngineSpec["role"], count: number) =>
    Array.from({ length: count }, (_, index): EngineSpec => ({
      id: `${role}-${index + 1}`,
      role,
      availabilityZone: zoneOf(index),
      parameters,
    }));
  const services = service === undefined ? {} : {
    [service.name]: Array.from({ length: service.servers }, (_, index) => ({
      id: `${service.name}-${index + 1}`,
      availabilityZone: zoneOf(index),
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

async function disturb(
  deployment: Deployment,
  options: { scenario: ExperimentScenario; signal: AbortSignal },
): Promise<void> {
  const { scenario, signal } = options;
  const engines = deployment.spec.engines[scenario.model.service]!;
  await Promise.all(
    scenario.disturbances.map(async ({ server, at, every, set }) => {
      const pool = engines.filter((engine) => engine.role === server.role);
      await sleep(at * 1000, signal);
      for (let number = server.number; !signal.aborted; number++) {
        await deployment.setFaults(pool[number % pool.length]!.id, set);
        if (every === undefined) return;
        await sleep(every * 1000, signal);
      }
    }),
  );
}

function getKey(workspace: string): string {
  return `key-of-${workspace}`;
}
