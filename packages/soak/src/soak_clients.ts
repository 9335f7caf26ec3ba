/**
 * Callers of a soak. Each keeps its connection to one gateway until a request on it fails,
 * also when the load balancer no longer uses that gateway, and records every response.
 * @module
 */
import type { Buffer } from "node:buffer";
import * as http from "node:http";
import { OWN_HEADERS } from "@bitternfall/gateway";
import { BodyReader, describeLargeBody } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import {
  type LargeBody,
  readSlowly,
  sendBody,
  type SlowReading,
} from "./soak_bodies.ts";
import {
  BOUNDS,
  getRepeatedPayload,
  getTimeoutMs,
  LARGE_PATH,
  LONG_PATH,
  REPEATED_ROUTES,
  type RouteName,
  ROUTES,
} from "./soak_config.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { SoakVm } from "./soak_processes.ts";
import { drawKey, SOUND_KEY } from "./soak_workspaces.ts";

/** One request and the response that its caller received. */
export interface SoakCall {
  readonly id: string;
  readonly route: RouteName;
  readonly path: string;
  /** The description of a large body. */
  readonly payload: string;
  readonly vm: string;
  /** The call that brought the first event of the stream which this one takes up. */
  readonly resumes:
    | { readonly streamId: string; readonly lastId: string }
    | undefined;
  /** Parts of a stream's prompt, as sent. */
  readonly promptParts: string | undefined;
  readonly hasLargeBody: boolean;
  readonly readsSlowly: boolean;
  /** Time that the server is asked to take; 0 if it is not. */
  readonly workMs: number;
  /** Empty if the caller sent none. */
  readonly key: string;
  readonly sentAt: number;
  /** Whether the whole request has been handed to the system. */
  isSent: boolean;
  /** When the head of the response arrived. */
  headAt: number;
  endedAt: number;
  /** When the caller disconnected on purpose; `Infinity` if it did not. */
  disconnectedAt: number;
  status: number | undefined;
  /** Server ID from the response's seal header. */
  seal: string | undefined;
  retryAfterMs: number;
  /** Of a large answer that is as it should be, its first line. */
  body: string;
  /** Whether the response is complete by its HTTP framing. */
  isComplete: boolean;
  error: string | undefined;
}

/** Mean time between a response and the caller's next request. */
const MEAN_PAUSE_MS = 120;
/** Share of the requests whose caller disconnects if the response takes too long. */
const DISCONNECT_SHARE = 0.08;
/** Such a caller disconnects after a random time, up to this long. */
const MAX_DISCONNECT_DELAY_MS = 800;
/** Share of the streams with a part that ends servers, while there are such parts. */
const CRASHING_SHARE = 0.3;
const CASE_COUNT = 12;
/** Longest time that a caller waits on `retry-after` before its next request. */
const MAX_RETRY_AFTER_MS = 1500;
const NO_READY_VM_PAUSE_MS = 100;
/** Callers give up this long after a request's deadline; the checks expect an end before. */
const CALLER_SLACK_MS = 4000;
const MS_PER_S = 1000;

/** The callers of one soak. */
export class SoakClients {
  readonly calls: SoakCall[] = [];
  readonly #fleet: SoakFleet;
  readonly #random: () => number;
  /** Undefined where requests need no keys. */
  readonly #keyRandom: (() => number) | undefined;

  constructor(
    fleet: SoakFleet,
    random: () => number,
    keyRandom: (() => number) | undefined,
  ) {
    this.#fleet = fleet;
    this.#random = random;
    this.#keyRandom = keyRandom;
  }

  /** Runs `count` callers until aborted, then waits for their last responses. */
  async run(count: number, signal: AbortSignal): Promise<void> {
    await Promise.all(
      Array.from({ length: count }, () => this.#runClient(signal)),
    );
  }

  /** Sends one request and waits until its response ends or fails. */
  async send(
    vm: SoakVm,
    options: {
      route: RouteName;
      agent?: http.Agent;
      disconnectAfterMs?: number;
      /** Part that ends servers. */
      crashingPart?: string | undefined;
      resumes?: SoakCall["resumes"];
      largeBody?: LargeBody;
      slowReading?: SlowReading;
      workMs?: number;
      /** One that all configurations hold, by default. */
      key?: string;
    },
  ): Promise<SoakCall> {
    const { route, crashingPart, resumes, workMs = 0, ...rest } = options;
    const { key = this.#keyRandom ? SOUND_KEY : "", ...transfer } = rest;
    const { largeBody, slowReading } = transfer;
    const id = `r${this.calls.length + 1}`;
    const repeatedPart = REPEATED_ROUTES.has(route) ? crashingPart : undefined;
    const text = repeatedPart === undefined
      ? `payload of ${id}`
      : getRepeatedPayload(repeatedPart);
    const below = slowReading !== undefined
      ? LARGE_PATH
      : workMs > 0
      ? LONG_PATH
      : "";
    const wanted = (slowReading ? `&answer=${slowReading.bytes}` : "") +
      (workMs > 0 ? `&work=${workMs}` : "");
    const call: SoakCall = {
      id,
      route,
      path: `/${route}/${below}${repeatedPart ?? id}?n=1${wanted}`,
      payload: largeBody === undefined
        ? text
        : describeLargeBody(text, largeBody.bytes),
      vm: vm.id,
      resumes,
      promptParts: this.#createPromptParts(route, crashingPart),
      hasLargeBody: largeBody !== undefined,
      readsSlowly: slowReading !== undefined,
      workMs,
      key,
      sentAt: performance.now(),
      isSent: false,
      headAt: Infinity,
      endedAt: Infinity,
      disconnectedAt: Infinity,
      status: undefined,
      seal: undefined,
      retryAfterMs: 0,
      body: "",
      isComplete: false,
      error: undefined,
    };
    this.calls.push(call);
    await sendRequest(call, { port: vm.callerPort, text, ...transfer });
    call.endedAt = performance.now();
    return call;
  }

  async #runClient(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const vm = this.#pickVm();
      if (vm === undefined) {
        await sleep(NO_READY_VM_PAUSE_MS, signal);
        continue;
      }
      const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
      await this.#sendUntilFailure(vm, { agent, signal });
      agent.destroy();
    }
  }

  /** Sends requests over one connection until one fails. */
  async #sendUntilFailure(
    vm: SoakVm,
    { agent, signal }: { agent: http.Agent; signal: AbortSignal },
  ): Promise<void> {
    while (!signal.aborted) {
      const route = ROUTES[Math.floor(this.#random() * ROUTES.length)]!.name;
      const disconnectAfterMs = this.#random() < DISCONNECT_SHARE
        ? this.#random() * MAX_DISCONNECT_DELAY_MS
        : undefined;
      const version = this.#fleet.registry.configs.length;
      const call = await this.send(vm, {
        route,
        agent,
        crashingPart: this.#pickCrashingPart(),
        ...(this.#keyRandom && { key: drawKey(this.#keyRandom, version) }),
        ...(disconnectAfterMs === undefined ? {} : { disconnectAfterMs }),
      });
      if (call.error !== undefined) return await this.#takeUp(call);
      await sleep(Math.min(call.retryAfterMs, MAX_RETRY_AFTER_MS), signal);
      await sleep(-Math.log(1 - this.#random()) * MEAN_PAUSE_MS, signal);
    }
  }

  /** Draws nothing while there are no such parts, so that earlier seeds stay the same. */
  #pickCrashingPart(): string | undefined {
    const parts = [...this.#fleet.sentParts];
    if (parts.length === 0 || this.#random() >= CRASHING_SHARE) {
      return undefined;
    }
    return parts[Math.floor(this.#random() * parts.length)];
  }

  /** A prompt that shares parts with others; the last part is its own. */
  #createPromptParts(
    route: RouteName,
    crashingPart: string | undefined,
  ): string | undefined {
    if (route !== "chat" && route !== "once") return undefined;
    const index = this.calls.length;
    const shared = ["common", `case${index % CASE_COUNT}`];
    if (crashingPart !== undefined) {
      shared.splice(1 + index % 2, 0, crashingPart);
    }
    return [...shared, `own${index}`].map((id) => `${id}:300`).join(",");
  }

  /** Takes a broken stream up at another VM, as far as it came. */
  async #takeUp(call: SoakCall): Promise<void> {
    const isBroken = call.disconnectedAt === Infinity;
    const lastId = [...call.body.matchAll(/^id: (\d+)\n.*\n\n/gm)].at(-1)?.[1];
    if (call.route !== "chat" || !isBroken || lastId === undefined) return;
    const vm = this.#fleet.hasVersions ? this.#pickVm() : undefined;
    if (vm === undefined) return;
    const streamId = call.resumes?.streamId ?? call.id;
    const { key } = call;
    await this.send(vm, { route: "chat", key, resumes: { streamId, lastId } });
  }

  #pickVm(): SoakVm | undefined {
    const ready = this.#fleet.vms.filter(({ isReady }) => isReady);
    return ready[Math.floor(this.#random() * ready.length)];
  }
}

function getCallerTimeoutMs(call: SoakCall): number {
  const timeoutMs = call.workMs > 0 ? getTimeoutMs(call) : BOUNDS.timeoutMs;
  return timeoutMs + CALLER_SLACK_MS;
}

function sendRequest(
  call: SoakCall,
  options: {
    port: number;
    text: string;
    agent?: http.Agent;
    disconnectAfterMs?: number;
    largeBody?: LargeBody;
    slowReading?: SlowReading;
  },
): Promise<void> {
  const { port, text, agent, disconnectAfterMs } = options;
  const { largeBody, slowReading } = options;
  return new Promise((resolve) => {
    const reader = new BodyReader();
    const finish = () => {
      clearTimeout(timer);
      call.body = reader.finish();
      const whole = slowReading &&
        describeLargeBody(`${call.seal} ran ${call.id}`, slowReading.bytes);
      if (call.body === whole) call.body = `${call.seal} ran ${call.id}`;
      resolve();
    };
    const req = http.request({
      port,
      host: "127.0.0.1",
      agent: agent ?? false,
      method: "POST",
      path: call.path,
      headers: {
        host: "soak",
        [OWN_HEADERS.requestId]: call.id,
        ...(call.key !== "" && {
          [OWN_HEADERS.key]: call.key,
          [OWN_HEADERS.workspace]: "claimed",
        }),
        ...(call.resumes === undefined ? {} : {
          [OWN_HEADERS.resumes]: call.resumes.streamId,
          [OWN_HEADERS.lastEventId]: call.resumes.lastId,
        }),
        ...(call.promptParts === undefined ? {} : {
          [OWN_HEADERS.tokens]: "1000,100,50",
          [OWN_HEADERS.promptParts]: call.promptParts,
        }),
      },
    }, (res) => {
      call.headAt = performance.now();
      call.status = res.statusCode;
      const seal = res.headers[OWN_HEADERS.seal];
      call.seal = Array.isArray(seal) ? seal[0] : seal;
      const seconds = Number(res.headers["retry-after"] ?? 0);
      call.retryAfterMs = seconds * MS_PER_S;
      const add = (chunk: Buffer) => reader.add(chunk);
      if (slowReading === undefined) res.on("data", add);
      else void readSlowly(res, slowReading, add);
      res.on("error", () => {});
      res.on("close", () => {
        call.isComplete = res.complete;
        if (!res.complete) call.error ??= "response ended early";
        finish();
      });
    });
    req.on("error", (err) => {
      call.error ??= err.message;
      finish();
    });
    const timer = setTimeout(() => {
      if (disconnectAfterMs === undefined) call.error = "timed out";
      else call.disconnectedAt = performance.now();
      req.destroy();
    }, disconnectAfterMs ?? getCallerTimeoutMs(call));
    req.on("finish", () => call.isSent = true);
    if (largeBody === undefined) req.end(text);
    else void sendBody(req, text, largeBody);
  });
}
