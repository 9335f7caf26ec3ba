import * as http from "node:http";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { Misbehaviour, type StagedServer } from "@bitternfall/stand-ins";
import { TestGateway } from "./test_gateway.ts";

let deployment: TestGateway;
let prefill: StagedServer;
let first: StagedServer;
let second: StagedServer;

beforeEach(async () => {
  deployment = new TestGateway();
  await deployment.start();
  const lm = { service: "lm" };
  prefill = await deployment.addServer({ id: "p1", role: "prefill", ...lm });
  first = await deployment.addServer({ id: "d1", role: "decode", ...lm });
  second = await deployment.addServer({ id: "d2", role: "decode", ...lm });
  await deployment.addGateway();
});
afterEach(() => deployment.close());

function readIds(body: string): number[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}

const ALL = [1, 2, 3, 4, 5];

describe("a stream", () => {
  it("is prefilled at one server and decoded at another", async () => {
    const answer = await deployment.stream({ id: "r1" });
    expect(answer).toMatchObject({ status: 200, isComplete: true });
    expect(readIds(answer.body)).toEqual(ALL);
    expect(prefill.receivedRequests.map(({ stage }) => stage)).toEqual([
      "prefill",
    ]);
    const [run] = [...first.runs, ...second.runs];
    expect(run?.headers["bitternfall-prefill-result"])
      .toBe(`127.0.0.1:${prefill.port}/p1-1`);
  });

  it("goes on elsewhere after its last whole event, under its first head", async () => {
    first.misbehaviour = Misbehaviour.CutStream;
    second.misbehaviour = Misbehaviour.CutStream;
    const arrived = first.waitForActivity();
    const other = second.waitForActivity();
    const answer = deployment.stream({ id: "r2" });
    // Whichever server runs it first breaks off; the other one then behaves.
    await Promise.race([arrived, other]);
    const [broken, sound] = first.runs.length > 0
      ? [first, second]
      : [second, first];
    sound.misbehaviour = Misbehaviour.None;
    const { body, isComplete, headers } = await answer;
    expect(readIds(body)).toEqual(ALL);
    expect(isComplete).toBe(true);
    expect(headers["bitternfall-seal"]).toBe(broken.id);
    expect(sound.runs[0]?.headers["last-event-id"]).toBe("2");
  });

  it("that may not be repeated ends visibly short, after whole events only", async () => {
    first.misbehaviour = Misbehaviour.CutStream;
    second.misbehaviour = Misbehaviour.CutStream;
    const answer = await deployment.stream({ id: "r3", path: "/once/x" });
    expect(answer.isComplete).toBe(false);
    expect(answer.body).toBe(
      "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n",
    );
    expect(first.runs.length + second.runs.length).toBe(1);
  });

  it("is refused and has not run when no decode server takes it", async () => {
    first.misbehaviour = Misbehaviour.Refuse;
    second.misbehaviour = Misbehaviour.Refuse;
    const answer = await deployment.stream({ id: "r4" });
    expect(answer.status).toBe(503);
    expect(Number(answer.headers["retry-after"])).toBeGreaterThan(0);
    expect(first.runs.length + second.runs.length).toBe(0);
    // What was prefilled for it is not left to lapse.
    while (prefill.freedHandles.length < prefill.receivedRequests.length) {
      await prefill.waitForActivity();
    }
  });

  it("goes to another server when one fails, and shows nothing of it", async () => {
    first.misbehaviour = Misbehaviour.Fail;
    for (let turn = 0; turn < 4; turn++) {
      const answer = await deployment.stream({ id: `f${turn}` });
      expect(answer).toMatchObject({ status: 200, isComplete: true });
      expect(readIds(answer.body)).toEqual(ALL);
    }
  });

  it("that may not be repeated gets the server's failure unchanged", async () => {
    first.misbehaviour = Misbehaviour.Fail;
    second.misbehaviour = Misbehaviour.Fail;
    const answer = await deployment.stream({ id: "g1", path: "/once/x" });
    expect(answer).toMatchObject({ status: 500, isComplete: true });
    expect(answer.body).toBe("failed");
    expect(answer.headers["bitternfall-seal"]).toMatch(/^d[12]$/);
  });

  it("is decoded from its prompt where no prefill server is left", async () => {
    await deployment.register(prefill, {
      service: "lm",
      role: "prefill",
      isDraining: true,
    });
    let answer = await deployment.stream({ id: "r5" });
    while (
      prefill.receivedRequests.some(({ requestId }) => requestId === "r5")
    ) {
      prefill.receivedRequests.length = 0;
      answer = await deployment.stream({ id: "r5" });
    }
    expect(readIds(answer.body)).toEqual(ALL);
  });

  it("stops at its server when the caller goes away", async () => {
    first.misbehaviour = Misbehaviour.Hang;
    second.misbehaviour = Misbehaviour.Hang;
    const req = http.request({
      port: deployment.ports[0]!.caller,
      host: "127.0.0.1",
      method: "POST",
      path: "/once/x",
      headers: {
        host: "test",
        "bitternfall-request-id": "r6",
        "bitternfall-tokens": "1000,100,50",
      },
    });
    req.on("error", () => {});
    req.end("prompt");
    const runs = () => [...first.runs, ...second.runs];
    while (runs().length === 0) {
      await Promise.race([first.waitForActivity(), second.waitForActivity()]);
    }
    req.destroy();
    while (!runs()[0]!.abandoned) {
      await Promise.race([first.waitForActivity(), second.waitForActivity()]);
    }
  });
});

describe("two VMs", () => {
  it("serve streams through one dispatcher, whichever is asked", async () => {
    await deployment.addGateway();
    for (let turn = 0; turn < 6; turn++) {
      const answer = await deployment.stream({ id: `t${turn}` }, turn % 2);
      expect(readIds(answer.body)).toEqual(ALL);
    }
  });

  it("go on when one of them stops, and it finishes what it has", async () => {
    await deployment.addGateway({
      shutdown: { balancerLagMs: 50, graceSeconds: 5 },
    });
    const stopping = deployment.gateways[1]!;
    const inFlight = deployment.stream({ id: "u0" }, 1);
    while (prefill.receivedRequests.length === 0) {
      await prefill.waitForActivity();
    }
    const stopped = stopping.stop("test");
    expect(stopping.isReady).toBe(false);
    const answer = await inFlight;
    expect(readIds(answer.body)).toEqual(ALL);
    await stopped;
    expect(readIds((await deployment.stream({ id: "u1" }, 0)).body))
      .toEqual(ALL);
  });
});

describe("a VM that stops", () => {
  it("closes connections whose answers began before, and takes no request on them", async () => {
    await deployment.addGateway({
      shutdown: { balancerLagMs: 0, graceSeconds: 5 },
    });
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    const req = { id: "v0", agent };
    const inFlight = deployment.stream(req, 1);
    while ([...first.runs, ...second.runs].length === 0) {
      await Promise.race([first.waitForActivity(), second.waitForActivity()]);
    }
    const stopped = deployment.gateways[1]!.stop("test");
    expect(readIds((await inFlight).body)).toEqual(ALL);
    await expect(deployment.stream({ id: "v1", agent }, 1)).rejects.toThrow();
    agent.destroy();
    await stopped;
  });
});
