import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { Misbehaviour, type StagedServer } from "@bitternfall/stand-ins";
import { TestGateway } from "./test_gateway.ts";

let deployment: TestGateway;
let first: StagedServer;
let second: StagedServer;

beforeEach(async () => {
  deployment = new TestGateway();
  await deployment.start();
  first = await deployment.addServer({ id: "s1" });
  second = await deployment.addServer({ id: "s2" });
  await deployment.addGateway();
});
afterEach(() => deployment.close());

function misbehave(misbehaviour: Misbehaviour): void {
  first.misbehaviour = misbehaviour;
  second.misbehaviour = misbehaviour;
}

function countRuns(id: string): number {
  return [...first.runs, ...second.runs].filter(({ requestId }) =>
    requestId === id
  ).length;
}

describe("a request of an unsafe route", () => {
  const send = (id: string) =>
    deployment.send({ id, path: "/unsafe/x?y=1", method: "POST", body: "b" });

  it("is forwarded unchanged, once, and its response is returned", async () => {
    const response = await send("r1");
    expect(response.status).toBe(200);
    expect(response.body).toMatch(/^s[12] ran r1$/);
    const [run] = [...first.runs, ...second.runs];
    expect(run).toMatchObject({ path: "/unsafe/x?y=1", body: "b" });
    expect(countRuns("r1")).toBe(1);
  });

  it("is not retried if its response is lost, but gets status 502", async () => {
    misbehave(Misbehaviour.Reset);
    expect((await send("r2")).status).toBe(502);
    expect(countRuns("r2")).toBe(1);
  });

  it("is retried at another server if one states that it has not run it", async () => {
    first.misbehaviour = Misbehaviour.Refuse;
    for (let turn = 0; turn < 6; turn++) {
      expect((await send(`t${turn}`)).body).toBe(`s2 ran t${turn}`);
    }
  });

  it("is refused with a Retry-After header if no server has run it", async () => {
    misbehave(Misbehaviour.Refuse);
    const response = await send("r3");
    expect(response.status).toBe(503);
    expect(Number(response.headers["retry-after"])).toBeGreaterThan(0);
    expect(countRuns("r3")).toBe(0);
  });

  it("receives a server's error response unchanged", async () => {
    misbehave(Misbehaviour.Fail);
    const response = await send("r4");
    expect([response.status, response.body]).toEqual([500, "failed"]);
    expect(countRuns("r4")).toBe(1);
  });

  it("never receives an unsealed response or one to another request", async () => {
    misbehave(Misbehaviour.Unsealed);
    expect((await send("r5")).status).toBe(502);
    misbehave(Misbehaviour.Crossed);
    expect((await send("r6")).status).toBe(502);
  });

  // Guards against a refusal of another request that is taken for one of this request.
  it("is neither sent again nor refused after the refusal of another request", async () => {
    misbehave(Misbehaviour.CrossedRefusal);
    expect((await send("r9")).status).toBe(502);
    expect(countRuns("r9")).toBe(1);
  });

  it("times out at the caller's deadline if the server does not respond", async () => {
    misbehave(Misbehaviour.Hang);
    const response = await deployment.send({
      id: "r7",
      path: "/unsafe/x",
      headers: { "bitternfall-deadline-ms": "300" },
    });
    expect(response.status).toBe(504);
    expect(countRuns("r7")).toBe(1);
  });

  it("is forwarded without a caller's values of headers that only the gateway sets", async () => {
    await deployment.send({
      id: "r8",
      path: "/unsafe/x",
      headers: {
        "bitternfall-prefill-result": "127.0.0.1:1/h",
        "bitternfall-stage": "prefill",
        "bitternfall-server": "s9",
      },
    });
    const [run] = [...first.runs, ...second.runs];
    expect(run?.stage).toBe("run");
    expect(run?.headers["bitternfall-prefill-result"]).toBeUndefined();
    expect(run?.headers["bitternfall-server"]).toMatch(/^s[12]$/);
  });
});

describe("a request of a safe route", () => {
  const send = (id: string) => deployment.send({ id, path: "/safe/x" });

  it("is retried at another server if one fails", async () => {
    first.misbehaviour = Misbehaviour.Fail;
    for (let turn = 0; turn < 4; turn++) {
      expect((await send(`f${turn}`)).status).toBe(200);
    }
  });

  it("is hedged at another server if one is slow", async () => {
    first.misbehaviour = Misbehaviour.Hang;
    for (let turn = 0; turn < 4; turn++) {
      expect((await send(`h${turn}`)).body).toBe(`s2 ran h${turn}`);
    }
  });

  it("runs on no more servers than its route allows", async () => {
    misbehave(Misbehaviour.Fail);
    expect((await send("r9")).status).toBe(500);
    expect(countRuns("r9")).toBe(2);
  });
});

describe("routes", () => {
  it("match only requests to their host and path prefix", async () => {
    expect((await deployment.send({ id: "a", path: "/none/x" })).status)
      .toBe(404);
    const other = { id: "b", path: "/safe/x", host: "other" };
    expect((await deployment.send(other)).status).toBe(404);
  });

  it("follow the newest configuration and ignore older or unreadable ones", async () => {
    await deployment.configure({ version: 3, routes: [] });
    while (
      (await deployment.send({ id: "c", path: "/safe/x" })).status !== 404
    );
    await deployment.configure({ version: 2 });
    await deployment.write("gateway/main", "unreadable");
    for (let turn = 0; turn < 5; turn++) {
      expect(
        (await deployment.send({ id: `d${turn}`, path: "/safe/x" })).status,
      )
        .toBe(404);
    }
  });

  it("do not lead to a server whose entry is draining or malformed", async () => {
    await deployment.register(first, { service: "app", isDraining: true });
    await deployment.write("servers/s3", { service: 7 });
    while (
      (await deployment.send({ id: "e", path: "/safe/x" })).body !== "s2 ran e"
    );
    for (let turn = 0; turn < 8; turn++) {
      expect((await deployment.send({ id: `g${turn}`, path: "/safe/x" })).body)
        .toBe(`s2 ran g${turn}`);
    }
  });

  it("refuse a request without an id, and one that is too large", async () => {
    expect((await deployment.send({ id: "", path: "/safe/x" })).status)
      .toBe(400);
    const large = {
      id: "l",
      path: "/unsafe/x",
      method: "POST",
      headers: { "content-length": "5000000" },
    };
    expect((await deployment.send(large)).status).toBe(413);
    expect(countRuns("l")).toBe(0);
  });
});
