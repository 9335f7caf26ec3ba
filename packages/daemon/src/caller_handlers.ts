/**
 * Handles callers' requests that the caller listener has admitted.
 * @module
 */
import * as crypto from "node:crypto";
import {
  type CallContext,
  type CallerHandler,
  type ModelRequest,
  type ServiceRequest,
} from "@bitternfall/caller";
import { estimateTokens, hashPrefixes } from "@bitternfall/dispatch";
import { Refusal } from "@bitternfall/errors";
import type { EventLog } from "@bitternfall/events";
import type { ModelService, Snapshot } from "@bitternfall/records";
import { monotonicNow, type Priority } from "@bitternfall/types";
import {
  BufferedSink,
  CompletionCollector,
  RecordingSink,
  type ResponseSink,
  StreamSink,
} from "./response_sink.ts";
import {
  type KeyedModelCalls,
  sendStoredCompletion,
} from "./keyed_model_calls.ts";
import { ModelCall, type ModelCallEnvironment } from "./model_call.ts";
import { type CellForwarder, ForwardResult } from "./cell_forwarder.ts";
import type { RoutedCaller, ServiceRouter } from "./service_router.ts";

/** Options of {@link CallerHandlers}. */
export interface CallerHandlersOptions {
  readonly availabilityZone: string;
  readonly log: EventLog;
  readonly getSnapshot: () => Snapshot;
  readonly isReady: () => boolean;
  readonly models: ModelCallEnvironment;
  readonly keyedModelCalls: KeyedModelCalls;
  readonly services: ServiceRouter;
  readonly forwarder: CellForwarder;
}

const SPILL_RETRY_AFTER_MS = 1000;

/** Serves the callers' requests of one VM. */
export class CallerHandlers implements CallerHandler<RoutedCaller> {
  readonly #options: CallerHandlersOptions;

  constructor(options: CallerHandlersOptions) {
    this.#options = options;
  }

  findCaller(key: string): RoutedCaller | undefined {
    const entry = this.#options.getSnapshot().findCaller(key);
    if (entry === undefined) return undefined;
    const { workspace, name } = entry.assignment;
    return { workspace, office: name, routing: entry.routing };
  }

  isReady(): boolean {
    return this.#options.isReady();
  }

  listModels(caller: RoutedCaller): readonly string[] {
    return caller.routing?.models ?? [];
  }

  async onModelRequest(
    req: ModelRequest,
    call: CallContext<RoutedCaller>,
  ): Promise<void> {
    const startedAt = monotonicNow();
    const { service, priority } = this.#findService(req, call);
    const promptTokens = estimateTokens(req.prompt);
    if (promptTokens > service.limits.promptTokens) {
      throw new Refusal(
        "body_too_large",
        `the prompt has more than ${service.limits.promptTokens} tokens`,
      );
    }
    if (call.idempotencyKey === undefined) {
      await this.#runModelCall({ req, call, service, priority, promptTokens });
    } else {
      await this.#runKeyed(
        { req, call, service, priority, promptTokens },
        call.idempotencyKey,
      );
    }
    this.#options.log.timing("model.request_ms", monotonicNow() - startedAt, {
      service: service.name,
    });
  }

  async onServiceRequest(
    req: ServiceRequest,
    call: CallContext<RoutedCaller>,
  ): Promise<void> {
    const startedAt = monotonicNow();
    await this.#options.services.serve(req, call);
    this.#options.log.timing("service.request_ms", monotonicNow() - startedAt, {
      service: req.service,
    });
  }

  onRefused(refusal: Refusal, requestId: string): void {
    const { type, outcome } = refusal.detail;
    this.#options.log.emit("requestRefused", {
      requestId,
      type,
      outcome,
      reason: refusal.message,
    });
    this.#options.log.count("refused", 1, { type, outcome });
  }

  #findService(
    req: ModelRequest,
    call: CallContext<RoutedCaller>,
  ): { service: ModelService; priority: Priority } {
    const { routing } = call.caller;
    if (routing === undefined) {
      throw new Refusal(
        "forbidden",
        "this office has no routing record in force",
      );
    }
    const route = routing.findModel(req.model);
    if (route === undefined) {
      throw new Refusal("not_found", `no model ${req.model} for this office`);
    }
    const service = this.#options.getSnapshot().modelServices.get(
      route.service,
    );
    if (service === undefined) {
      throw new Refusal("not_found", `no service ${route.service}`);
    }
    return { service, priority: route.priority };
  }

  async #runKeyed(admitted: AdmittedRequest, key: string): Promise<void> {
    const { req, call, service } = admitted;
    const { joinedCompletion } = await this.#options.keyedModelCalls.runOnce(
      `${call.caller.workspace}/${key}`,
      {
        fingerprint: getFingerprint(req, service),
        run: async () => {
          const collector = new CompletionCollector(req, call.memory);
          await this.#runModelCall(admitted, collector);
          return collector.text;
        },
      },
    );
    if (joinedCompletion !== undefined) {
      sendStoredCompletion(req, call, joinedCompletion);
    }
  }

  async #runModelCall(
    admitted: AdmittedRequest,
    collector?: CompletionCollector,
  ): Promise<void> {
    const { req, call, service, priority, promptTokens } = admitted;
    const { availabilityZone, models, forwarder } = this.#options;
    const maxTokens = Math.min(
      req.maxTokens ?? service.limits.outputTokens,
      service.limits.outputTokens,
    );
    const spillTo = await new ModelCall(models, {
      requestId: call.requestId,
      service: service.name,
      workspace: call.caller.workspace,
      availabilityZone,
      priority,
      shape: req.shape,
      prompt: req.prompt,
      promptTokens,
      maxTokens,
      hashes: hashPrefixes(req.prompt),
      firstOutputMs: service.targets.firstOutputMs,
      sink: createSink(admitted, collector),
      // The completion of a keyed request must be stored here for retries, which does not
      // happen when another cell runs the request.
      canSpill: collector === undefined && !call.isForwarded,
      callerSignal: call.callerSignal,
    }).run();
    if (spillTo === undefined) return;
    const result = await forwarder.forward(spillTo, call);
    if (result === ForwardResult.NotSent) {
      throw new Refusal("overloaded", "no servers in time, here or nearby", {
        retryAfterMs: SPILL_RETRY_AFTER_MS,
      });
    }
  }
}

interface AdmittedRequest {
  readonly req: ModelRequest;
  readonly call: CallContext<RoutedCaller>;
  readonly service: ModelService;
  readonly priority: Priority;
  readonly promptTokens: number;
}

function createSink(
  admitted: AdmittedRequest,
  collector: CompletionCollector | undefined,
): ResponseSink {
  const { req, call } = admitted;
  if (!req.stream) {
    return new BufferedSink(
      call.res,
      collector ?? new CompletionCollector(req, call.memory),
    );
  }
  const stream = new StreamSink(call.res);
  return collector === undefined
    ? stream
    : new RecordingSink(stream, collector);
}

function getFingerprint(req: ModelRequest, service: ModelService): string {
  const { shape, model, maxTokens, prompt } = req;
  const text = JSON.stringify([service.name, shape, model, maxTokens, prompt]);
  return crypto.createHash("sha256").update(text).digest("base64url");
}
