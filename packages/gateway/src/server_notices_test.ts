import * as fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  findRequestsInPause,
  findRequestsWhileLeaving,
  Misbehaviour,
  type NoticedArrival,
  type StagedServer,
} from "@bitternfall/stand-ins";
import { monotonicNow, sleep } from "@bitternfall/types";
import type { ServerEntry } from "./model.ts";
import { ServerDirectory } from "./server_directory.ts";
import { type ServerNotice, ServerNotices } from "./server_notices.ts";
import { TestGateway } from "./test_gateway.ts";

const REQUEST_COUNT = 20;
/** Longer than a server is avoided that has refused a request without a time. */
const AVOIDANCE_MS = 1200;
/** Time until a VM knows a new entry. */
const REGISTRATION_MS = 800;

let deployment: TestGateway;

beforeEach(async () => {
  deployment = new TestGateway();
  await deployment.start();
});
afterEach(() => deployment.close());

/** Sends requests one after the other and returns their statuses. */
async function load(
  send: (id: string) => Promise<{ status: number }>,
): Promise<number[]> {
  const statuses: number[] = [];
  for (let sent = 0; sent < REQUEST_COUNT; sent++) {
    statuses.push((await send(`r${sent}`)).status);
  }
  return statuses;
}

const sendPlain = (id: string) =>
  deployment.send({ id, path: "/unsafe/x", method: "POST" });

async function addModelServers(): Promise<StagedServer[]> {
  const lm = { service: "lm" };
  await deployment.addServer({ id: "p1", role: "prefill", ...lm });
  return [
    await deployment.addServer({ id: "d1", role: "decode", ...lm }),
    await deployment.addServer({ id: "d2", role: "decode", ...lm }),
  ];
}

describe("a server that says in its answers that it leaves", () => {
  // Guards against requests to a server whose entry still says that it is ready.
  it("gets no more requests of a plain service", async () => {
    const leaving = await deployment.addServer({ id: "s1" });
    await deployment.addGateway();
    leaving.saysLeaving = true;
    expect((await sendPlain("first")).status).toBe(200);
    await deployment.addServer({ id: "s2" });
    // The entry of the leaving server is written again, and says that it is ready.
    await deployment.register(leaving, { service: "app" });
    await sleep(REGISTRATION_MS);
    expect(new Set(await load(sendPlain))).toEqual(new Set([200]));
    expect(leaving.receivedRequests).toHaveLength(1);
  });

  it("gets no more streams", async () => {
    const [leaving] = await addModelServers();
    await deployment.addGateway();
    leaving!.saysLeaving = true;
    const statuses = await load((id) => deployment.stream({ id }));
    expect(new Set(statuses)).toEqual(new Set([200]));
    expect(leaving!.receivedRequests.length).toBeLessThanOrEqual(1);
  });
});

describe("a server that refuses requests and names a time to return", () => {
  // Guards against more than two requests of a VM to a server that wants none.
  it("gets no plain requests until then", async () => {
    const refusing = await deployment.addServer({ id: "s1" });
    await deployment.addServer({ id: "s2" });
    await deployment.addGateway();
    refusing.misbehaviour = Misbehaviour.Refuse;
    refusing.retryAfter = "30";
    await sendPlain("first");
    while (refusing.receivedRequests.length === 0) await load(sendPlain);
    await sleep(AVOIDANCE_MS);
    expect(new Set(await load(sendPlain))).toEqual(new Set([200]));
    await sleep(AVOIDANCE_MS);
    await load(sendPlain);
    expect(refusing.receivedRequests.length).toBeLessThanOrEqual(2);
  });

  it("gets no streams until then", async () => {
    const [refusing, other] = await addModelServers();
    await deployment.addGateway();
    refusing!.misbehaviour = Misbehaviour.Refuse;
    refusing!.retryAfter = "30";
    // Alone, the server is asked for each stream unless it wants none.
    await deployment.remove(`servers/${other!.id}`);
    await sleep(REGISTRATION_MS);
    for (let sent = 0; sent < 4; sent++) {
      expect((await deployment.stream({ id: `r${sent}` })).status).toBe(503);
    }
    expect(refusing!.receivedRequests.length).toBeLessThanOrEqual(2);
  });

  // Guards against callers that wait where every server wants nothing.
  it("has callers refused at once, with the time, where it is the only one", async () => {
    const refusing = await deployment.addServer({ id: "s1" });
    await deployment.addGateway();
    refusing.misbehaviour = Misbehaviour.Refuse;
    refusing.retryAfter = "5";
    await sendPlain("first");
    const askedAt = monotonicNow();
    const response = await deployment.send({
      id: "second",
      path: "/unsafe/x",
      method: "POST",
    });
    expect(monotonicNow() - askedAt).toBeLessThan(200);
    expect(response.status).toBe(503);
    const seconds = Number(response.headers["retry-after"]);
    expect(seconds).toBeGreaterThan(4);
    expect(seconds).toBeLessThanOrEqual(5);
  });

  // Guards against a header that takes a server out of use for good, or breaks a request.
  it("is asked again if the time can't be read", async () => {
    const refusing = await deployment.addServer({ id: "s1" });
    await deployment.addGateway();
    for (const retryAfter of ["-1", "soon", "", "1e999", "0"]) {
      refusing.misbehaviour = Misbehaviour.Refuse;
      refusing.retryAfter = retryAfter;
      await sendPlain(`refused ${retryAfter}`.replaceAll(" ", "-"));
      refusing.misbehaviour = Misbehaviour.None;
      expect((await sendPlain("next")).status).toBe(200);
    }
  });
});

/** One server and a VM that sends to it whenever it believes that the server wants requests. */
class ModelDeployment {
  now = 0;
  readonly processes: NoticedArrival[][] = [[]];
  readonly #directory = new ServerDirectory({ now: () => this.now });
  readonly #notices = new ServerNotices({
    directory: this.#directory,
    now: () => this.now,
  });
  #isLeaving = false;
  #pauseMs = 0;
  #answers: { at: number; notice: Required<ServerNotice> }[] = [];

  constructor() {
    this.writeEntry();
  }

  /** The entry never says that the server leaves. */
  writeEntry(): void {
    this.#directory.set({
      id: "s1",
      service: "app",
      bornAt: this.processes.length,
      host: "127.0.0.1",
      port: 1,
      availabilityZone: "a",
      isDraining: false,
    } as ServerEntry);
  }

  removeEntry(): void {
    this.#directory.remove("s1");
  }

  restart(): void {
    this.processes.push([]);
    this.#isLeaving = false;
    this.#pauseMs = 0;
    // Answers of the process before are lost, and its entry is replaced at once.
    this.#answers = [];
    this.writeEntry();
  }

  leave(): void {
    this.#isLeaving = true;
  }

  togglePause(pauseMs: number): void {
    this.#pauseMs = this.#pauseMs === 0 ? pauseMs : 0;
  }

  send(answerMs: number): void {
    const isWanted = this.#directory.list("app").length > 0 &&
      !this.#notices.isPaused("s1");
    if (!isWanted) return;
    const [at, endedAt] = [this.now, this.now + answerMs];
    const notice = { isLeaving: this.#isLeaving, pauseMs: this.#pauseMs };
    this.processes.at(-1)!.push({ at, sentAt: at, endedAt, notice });
    this.#answers.push({ at: endedAt, notice });
  }

  advance(ms: number): void {
    this.now += ms;
    for (const { at, notice } of this.#answers) {
      if (at <= this.now) this.#notices.onAnswer({ id: "s1" }, notice);
    }
    this.#answers = this.#answers.filter(({ at }) => at > this.now);
  }
}

describe("what a server has said of itself", () => {
  // Guards against entries that undo what an answer has said.
  it("is kept until its process ends, whatever entries come and go", () => {
    const weights = {
      send: 40,
      leave: 2,
      togglePause: 4,
      writeEntry: 8,
      removeEntry: 8,
      restart: 1,
    };
    const step = fc.oneof(
      ...Object.entries(weights).map(([name, weight]) => ({
        weight,
        arbitrary: fc.constant(name as keyof typeof weights),
      })),
    );
    fc.assert(
      fc.property(
        fc.array(fc.tuple(step, fc.nat({ max: 400 })), {
          minLength: 100,
          maxLength: 200,
        }),
        (steps) => {
          const model = new ModelDeployment();
          for (const [name, value] of steps) {
            if (name === "togglePause") model.togglePause(1000 + 10 * value);
            else if (name === "send") model.send(value);
            else model[name]();
            model.advance(50 + value / 4);
          }
          for (const arrivals of model.processes) {
            expect(findRequestsWhileLeaving(arrivals)).toBeUndefined();
            expect(findRequestsInPause(arrivals)).toBeUndefined();
          }
        },
      ),
      { seed: 38, numRuns: 400 },
    );
  });
});

describe("a server that has started again under its id", () => {
  let directory: ServerDirectory;
  let notices: ServerNotices;

  const register = (bornAt: number) =>
    directory.set({ id: "s1", service: "app", bornAt } as ServerEntry);

  beforeEach(() => {
    directory = new ServerDirectory({ now: () => 0 });
    notices = new ServerNotices({ directory, now: () => 0 });
    register(1);
  });

  // Guards against a successor that gets no requests for good.
  it("does not leave because a late answer of its predecessor says so", () => {
    register(2);
    notices.onAnswer({ id: "s1", bornAt: 1 }, { isLeaving: true });
    expect(directory.list("app")).toHaveLength(1);
    notices.onAnswer({ id: "s1", bornAt: 2 }, { isLeaving: true });
    expect(directory.list("app")).toHaveLength(0);
  });

  // Guards against a pause of up to a minute that the successor has not asked for.
  it("wants requests although its predecessor wanted none for a while", () => {
    notices.onAnswer({ id: "s1", bornAt: 1 }, { pauseMs: 30_000 });
    expect(notices.listPaused()).toEqual(["s1"]);
    register(2);
    expect(notices.isPaused("s1")).toBe(false);
    notices.onAnswer({ id: "s1", bornAt: 1 }, { pauseMs: 30_000 });
    expect(notices.isPaused("s1")).toBe(false);
    notices.onAnswer({ id: "s1", bornAt: 2 }, { pauseMs: 30_000 });
    expect(notices.isPaused("s1")).toBe(true);
  });
});
