import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type AcquireRequest, RefusalReason } from "@bitternfall/dispatch";
import type { Membership } from "@bitternfall/membership";
import {
  type Method,
  METHODS,
  PeerError,
  type PeerMesh,
} from "@bitternfall/peer";
import { monotonicNow, Priority, sleep } from "@bitternfall/types";
import { DispatchClient } from "./dispatch_client.ts";
import { createDispatchHandlers } from "./dispatch_handlers.ts";
import type { DispatchHost } from "./dispatch_host.ts";
import { RunningCalls } from "./running_calls.ts";
import { createTestHost, TEST_SERVICE as SERVICE } from "./test_host.ts";

const ROUTE_TIMEOUT_MS = 3000;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** A connection on which every call is lost, as while the link to the dispatcher is cut. */
class SilentMesh {
  readonly notified: string[] = [];

  async call(
    _vmId: string,
    _method: string,
    options: { timeoutMs?: number },
  ): Promise<never> {
    await sleep(options.timeoutMs ?? 1000);
    throw new Error("connection silent");
  }

  notify(_vmId: string, method: string): void {
    this.notified.push(method);
  }
}

function createRequest(): AcquireRequest {
  const now = monotonicNow();
  return {
    requestId: "r1",
    attempt: 1,
    workspace: "chat",
    owner: "vm-1",
    availabilityZone: "a",
    priority: Priority.Normal,
    promptTokens: 100,
    outputTokens: 0,
    maxTokens: 50,
    deadline: now + 600,
    patience: { remainingMs: ROUTE_TIMEOUT_MS, relaxedDeadline: now + 1050 },
    hashes: [],
    avoid: [],
  };
}

describe("DispatchClient.acquire", () => {
  for (
    const { name, owner } of [
      { name: "its dispatcher is silent", owner: "vm-2" },
      { name: "the dispatcher of its own VM does not decide", owner: "vm-1" },
    ]
  ) {
    it(`refuses a request by the time its caller needs an answer while ${name}`, async () => {
      const mesh = new SilentMesh();
      const withdrawn: string[] = [];
      const host = {
        acquire: () => new Promise<undefined>(() => {}),
        find: () => ({
          withdraw: (req: AcquireRequest) => withdrawn.push(req.requestId),
        }),
      };
      const client = new DispatchClient({
        vmId: "vm-1",
        membership: { getOwner: () => owner } as unknown as Membership,
        mesh: mesh as unknown as PeerMesh,
        host: host as unknown as DispatchHost,
        calls: new RunningCalls(),
      });
      const startedAt = monotonicNow();
      const decision = client.acquire(SERVICE, createRequest(), {
        callerSignal: new AbortController().signal,
        answerBy: startedAt + ROUTE_TIMEOUT_MS,
      }).then((value) => ({ value, tookMs: monotonicNow() - startedAt }));
      await vi.advanceTimersByTimeAsync(10_000);
      const { value, tookMs } = await decision;
      expect(value).toMatchObject({
        kind: "refusal",
        reason: RefusalReason.NoServers,
      });
      expect(tookMs).toBeLessThanOrEqual(ROUTE_TIMEOUT_MS + 500);
      // A grant that nobody uses would hold memory until the dispatcher verifies it.
      expect([...mesh.notified, ...withdrawn]).toHaveLength(1);
    });
  }
});

describe("an acquire message", () => {
  /** Passes a request on as JSON that the schema of the method accepts. */
  async function passOn(
    fields: Partial<AcquireRequest>,
    { maxParams = Infinity } = {},
  ) {
    const sent: unknown[][] = [];
    const received: AcquireRequest[] = [];
    const calls = new RunningCalls();
    const membership = {
      getOwner: () => "vm-2",
      find: () => ({ availabilityZone: "a" }),
    } as unknown as Membership;
    const host = {
      acquire: (_service: string, req: AcquireRequest) => {
        received.push(req);
        return Promise.resolve(
          { kind: "refusal", reason: RefusalReason.Priority, retryAfterMs: 9 },
        );
      },
    } as unknown as DispatchHost;
    const handlers = createDispatchHandlers({ membership, host, calls });
    const mesh = {
      call: (
        _vm: string,
        method: "acquire",
        options: { params: unknown[] },
      ) => {
        sent.push(options.params);
        if (options.params.length > maxParams) {
          throw new PeerError({ tag: "rejected_params" }, "too many");
        }
        const json: unknown = JSON.parse(JSON.stringify(options.params));
        return handlers[method](METHODS[method].params.parse(json));
      },
    } as unknown as PeerMesh;
    const client = new DispatchClient({
      vmId: "vm-1",
      membership,
      mesh,
      host: {} as DispatchHost,
      calls,
    });
    const decision = await client.acquire(SERVICE, {
      ...createRequest(),
      ...fields,
    }, { callerSignal: new AbortController().signal });
    return { decision, req: received[0]!, params: sent[0]! };
  }

  // Guards against a dispatcher on another VM that serves all requests alike.
  it("brings rank and account to the dispatcher, and its reason back", async () => {
    const { req, decision } = await passOn({ rank: 3, account: "huka" });
    expect(req).toMatchObject({ rank: 3, account: "huka", workspace: "chat" });
    expect(decision).toMatchObject({ reason: RefusalReason.Priority });
  });

  it("brings a rank and a name that are too long as far as they are allowed", async () => {
    const account = "x".repeat(500);
    const { req } = await passOn({ rank: 40, account });
    expect(req.rank).toBe(9);
    expect(account.startsWith(req.account!)).toBe(true);
  });

  // Guards against VMs of the version before that refuse the message during an update.
  it("is as long as before where neither is given", async () => {
    const { params, req } = await passOn({ rank: 0 });
    expect(params).toHaveLength(20);
    expect(req).toMatchObject({ rank: 0, account: undefined });
  });

  // Guards against requests that are not served during an update of the dispatcher's VM.
  it("has no rank for a dispatcher of the version before, which rejects it", async () => {
    const fields = { rank: 3, account: "huka" };
    const { req, decision } = await passOn(fields, { maxParams: 20 });
    expect(decision).toMatchObject({ kind: "refusal", retryAfterMs: 9 });
    expect(req).toMatchObject({ rank: 0, account: undefined });
  });
});

const TOKEN_LIFETIME_MS = 1000;

/** Connects a client to the handlers of a dispatcher; notifications arrive late. */
class LateMesh {
  readonly #handlers: { [method: string]: (params: never) => unknown };
  readonly #delayMs: number;

  constructor(handlers: object, delayMs: number) {
    this.#handlers = { ...handlers };
    this.#delayMs = delayMs;
  }

  async call(_vmId: string, method: Method, options: { params: unknown }) {
    return await this.#handlers[method]!(options.params as never);
  }

  notify(_vmId: string, method: Method, params: unknown): void {
    setTimeout(
      () => this.#handlers[method]!(params as never),
      this.#delayMs,
    );
  }
}

/** Passes two retry tokens to a dispatcher and returns the number that it can spend. */
async function passTokens(delayMs: number): Promise<number | undefined> {
  const calls = new RunningCalls();
  const host = createTestHost({ vmId: "vm-2", calls });
  const membership = { getOwner: () => "vm-2" } as unknown as Membership;
  const handlers = createDispatchHandlers({ membership, host, calls });
  const client = new DispatchClient({
    vmId: "vm-1",
    membership,
    mesh: new LateMesh(handlers, delayMs) as unknown as PeerMesh,
    host: {} as DispatchHost,
    calls: new RunningCalls(),
  });
  const expiresAt = monotonicNow() + TOKEN_LIFETIME_MS;
  client.passRetryTokens(SERVICE, [{ count: 2, expiresAt }]);
  await vi.advanceTimersByTimeAsync(delayMs);
  return host.find(SERVICE)?.retryTokens;
}

describe("DispatchClient.passRetryTokens", () => {
  it("passes tokens to the dispatcher of another VM", async () => {
    expect(await passTokens(0.5 * TOKEN_LIFETIME_MS)).toBe(2);
  });

  // Guards against a retry budget that grows while the link to a dispatcher is silent.
  it("does not lengthen the life of tokens whose message arrives late", async () => {
    expect(await passTokens(1.5 * TOKEN_LIFETIME_MS)).toBe(0);
  });
});
