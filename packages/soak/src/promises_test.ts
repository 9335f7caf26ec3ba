import { describe, expect, it } from "vitest";
import type {
  NamedLimit,
  ReceivedOrder,
  ReceivedRequest,
  ServerCrash,
} from "@bitternfall/stand-ins";
import { Disturbances, SOAK_PROCESS } from "./disturbances.ts";
import { findViolations, type ObservedFleet } from "./promises.ts";
import type { SoakCall } from "./soak_clients.ts";
import { SERVERS } from "./soak_config.ts";
import type { DisturbedStart } from "./soak_starts.ts";

const NOW = 20_000;
const STREAM_BODY = [1, 2, 3, 4, 5, 6].map((id) => `id: ${id}\ndata: x\n\n`)
  .join(
    "",
  );

function createCall(fields: Partial<SoakCall> = {}): SoakCall {
  const route = fields.route ?? "unsafe";
  const isStream = route === "chat" || route === "once";
  return {
    id: "r1",
    route,
    path: `/${route}/r1?n=1`,
    payload: "payload of r1",
    vm: "vm-1",
    resumes: undefined,
    promptParts: isStream ? "common:300,own:300" : undefined,
    hasLargeBody: false,
    readsSlowly: false,
    workMs: 0,
    key: "",
    sentAt: 10_000,
    isSent: true,
    headAt: 10_090,
    endedAt: 10_100,
    disconnectedAt: Infinity,
    status: 200,
    seal: isStream ? "lm-3" : "app-1",
    retryAfterMs: 0,
    body: isStream ? STREAM_BODY : "app-1 ran r1",
    isComplete: true,
    error: undefined,
    ...fields,
  };
}

function createArrival(fields: Partial<ReceivedRequest> = {}): ReceivedRequest {
  return {
    requestId: "r1",
    path: "/unsafe/r1?n=1",
    stage: "run",
    headers: {},
    body: "payload of r1",
    at: 10_010,
    endedAt: 10_090,
    ran: true,
    isRefused: false,
    abandoned: false,
    ...fields,
  };
}

/** A server's notice in the answer to one request, and further requests of the same VM. */
function createNoticed(
  notice: ReceivedRequest["notice"],
  laterAt: readonly number[],
): Scenario {
  const later = laterAt.map((at, index) => {
    const id = `later${index}`;
    const [path, payload] = [`/unsafe/${id}?n=1`, `payload of ${id}`];
    const call = createCall({
      id,
      path,
      payload,
      sentAt: at,
      endedAt: at + 100,
      body: `app-1 ran ${id}`,
    });
    const arrival = createArrival({
      requestId: id,
      path,
      body: payload,
      at: at + 10,
      endedAt: at + 90,
    });
    return { call, arrival };
  });
  return {
    calls: [createCall(), ...later.map(({ call }) => call)],
    arrivals: {
      "app-1": [
        createArrival({ notice: notice! }),
        ...later.map(({ arrival }) => arrival),
      ],
    },
  };
}

interface Scenario {
  readonly calls?: SoakCall[];
  readonly arrivals?: { readonly [server: string]: ReceivedRequest[] };
  readonly namedLimits?: { readonly [server: string]: NamedLimit[] };
  readonly orders?: { readonly [server: string]: ReceivedOrder[] };
  readonly crashes?: { readonly [server: string]: ServerCrash[] };
  readonly fleet?: Partial<ObservedFleet>;
}

function findBrokenPromises(scenario: Scenario): string[] {
  const fleet: ObservedFleet = {
    disturbances: new Disturbances(),
    exits: [],
    crashingParts: new Set(["bad"]),
    crashingBodies: new Set(["payload of bad"]),
    lostLinks: [],
    stops: [],
    starts: [],
    bodyLoads: [],
    memoryPeaksMb: new Map([["vm-1", 200]]),
    registry: {
      configs: [{ version: 1, sentAt: 0, ackedAt: 1 }],
      drainPeriods: [],
    },
    servers: SERVERS.map((spec) => ({
      id: spec.id,
      spec,
      requestsByInstance: [scenario.arrivals?.[spec.id] ?? []],
      receivedRequests: scenario.arrivals?.[spec.id] ?? [],
      namedLimits: scenario.namedLimits?.[spec.id] ?? [],
      orders: scenario.orders?.[spec.id] ?? [],
      crashes: scenario.crashes?.[spec.id] ?? [],
    })),
    ...scenario.fleet,
  };
  const calls = scenario.calls ?? [createCall()];
  return findViolations({ fleet, calls, now: NOW }).map(({ promise }) =>
    promise
  );
}

const createStart = (fields: Partial<DisturbedStart>): DisturbedStart => ({
  vm: "vm-1",
  disturbance: "ready port in use",
  freeAt: 5000,
  readyAt: 6000,
  ...fields,
});

const noAnswer = {
  status: undefined,
  seal: undefined,
  isComplete: false,
} as const;
const cutAnswer = {
  isComplete: false,
  error: "response ended early",
} as const;

/** A long stream that breaks off 7 s after SIGTERM. */
function createCutByStop(
  arrival: Partial<ReceivedRequest> = {},
  from = 8500,
): Scenario {
  const path = "/once/r1?n=1";
  return {
    calls: [
      createCall({
        ...cutAnswer,
        route: "once",
        workMs: 6000,
        endedAt: from + 7000,
      }),
    ],
    arrivals: {
      "lm-3": [createArrival({ path, endedAt: 13_000, ...arrival })],
    },
    fleet: { stops: [{ vm: "vm-1", from, until: from + 8000 }] },
  };
}

const createOrder = (
  at: number,
  fence: number,
  holder: string,
): ReceivedOrder => ({
  at,
  status: 202,
  order: { fence, holder, role: "decode" },
});

describe("findViolations, given calls without a fault", () => {
  it("returns nothing for a request and a stream that ran once", () => {
    expect(findBrokenPromises({ arrivals: { "app-1": [createArrival()] } }))
      .toEqual([]);
    const path = "/chat/r1?n=1";
    const calls = [createCall({ route: "chat", path })];
    expect(
      findBrokenPromises({
        calls,
        arrivals: { "lm-3": [createArrival({ path })] },
      }),
    )
      .toEqual([]);
  });
});

describe("findViolations, given one broken promise", () => {
  const arrival = createArrival();
  const crashingIds = Array.from({ length: 9 }, (_, index) => `c${index}`);
  const servedIds = Array.from({ length: 20 }, (_, index) => `s${index}`);
  const limitedIds = Array.from({ length: 30 }, (_, index) => `l${index}`);
  const cases: { [promise: string]: Scenario } = {
    "a part that ends servers soon reaches no more of them": {
      calls: crashingIds.map((id) =>
        createCall({
          id,
          route: "once",
          path: `/once/${id}`,
          promptParts: "common:300,bad:300,own:300",
          status: 502,
        })
      ),
      crashes: {
        "lm-3": crashingIds.slice(0, 5).map((requestId, index) => ({
          requestId,
          at: 1000 + index,
        })),
      },
      arrivals: {
        "lm-4": crashingIds.slice(5).map((requestId) =>
          createArrival({ requestId, path: `/once/${requestId}`, at: 9000 })
        ),
      },
    },
    "a repeated request that ends servers soon reaches no more of them": {
      calls: crashingIds.map((id) =>
        createCall({
          id,
          path: "/unsafe/bad",
          payload: "payload of bad",
          status: 502,
        })
      ),
      crashes: {
        "app-1": crashingIds.slice(0, 3).map((requestId, index) => ({
          requestId,
          at: 1000 + index,
        })),
      },
      arrivals: {
        "app-2": crashingIds.slice(5).map((requestId) =>
          createArrival({
            requestId,
            path: "/unsafe/bad",
            body: "payload of bad",
            at: 9000,
          })
        ),
      },
    },
    "a plain request that ends no server is not blocked": {
      calls: [createCall({ status: 400, body: "", seal: undefined })],
    },
    "callers of a VM that reaches no server are served": {
      fleet: { lostLinks: [{ vm: "vm-2", from: 5000, until: 15_000 }] },
      calls: servedIds.flatMap((id) => [
        createCall({
          id,
          path: `/unsafe/${id}`,
          payload: id,
          body: `app-1 ran ${id}`,
        }),
        createCall({
          id: `${id}-cut`,
          vm: "vm-2",
          status: 504,
          body: "",
          seal: undefined,
        }),
      ]),
      arrivals: {
        "app-1": servedIds.map((id) =>
          createArrival({ requestId: id, path: `/unsafe/${id}`, body: id })
        ),
      },
    },
    "a stream holds events of one software version": {
      calls: ["r1", "r2", "r3"].flatMap((id) => [
        createCall({
          id,
          route: "once",
          path: `/once/${id}`,
          status: 502,
          body: "id: 1\ndata: piece 1 by v1\n\n",
        }),
        createCall({
          id: `${id}-2`,
          route: "once",
          path: `/once/${id}-2`,
          status: 502,
          body: "id: 2\ndata: piece 2 by v2\n\n",
          resumes: { streamId: id, lastId: "1" },
        }),
      ]),
    },
    "a prompt that ends no server is not blocked": {
      calls: [createCall({ route: "once", path: "/once/r1", status: 400 })],
    },
    "a request runs as its caller sent it": {
      arrivals: { "app-1": [createArrival({ body: "other" })] },
    },
    "what may not be repeated runs once": {
      arrivals: { "app-1": [arrival], "app-2": [arrival] },
    },
    "a refused request has not run": {
      calls: [createCall({ status: 503, body: "", seal: undefined })],
      arrivals: { "app-1": [arrival] },
    },
    "an answer is the server's own and whole": {
      calls: [createCall({
        route: "chat",
        path: "/chat/r1?n=1",
        body: STREAM_BODY.replace("id: 3\n", ""),
      })],
      arrivals: { "lm-3": [createArrival({ path: "/chat/r1?n=1" })] },
    },
    "a request gets an answer": {
      calls: [createCall({ status: undefined, error: "reset" })],
      arrivals: { "app-1": [arrival] },
    },
    "an answer comes by the route's timeout": {
      calls: [createCall({ endedAt: 13_600 })],
      arrivals: { "app-1": [arrival] },
    },
    "a leaving server gets no new requests": {
      arrivals: { "app-1": [arrival] },
      fleet: {
        registry: {
          configs: [{ version: 1, sentAt: 0, ackedAt: 1 }],
          drainPeriods: [{ server: "app-1", ackedAt: 7000, until: Infinity }],
        },
      },
    },
    "servers stop what its caller has left": {
      calls: [createCall({ status: undefined, disconnectedAt: 10_050 })],
      arrivals: { "app-1": [createArrival({ endedAt: Infinity })] },
    },
    "a route leads where a configuration in force says": {
      calls: [createCall({ status: 502 })],
      arrivals: { "blue-1": [arrival] },
    },
    "repeats stay within the budget": {
      calls: [createCall({ route: "safe", path: "/safe/r1?n=1", status: 502 })],
      arrivals: {
        "app-1": Array.from(
          { length: 80 },
          () => createArrival({ path: "/safe/r1?n=1" }),
        ),
      },
    },
    "a server gets no more than the limit that it names": {
      calls: limitedIds.map((id) =>
        createCall({ id, path: `/unsafe/${id}`, status: 502 })
      ),
      arrivals: {
        "app-1": limitedIds.map((requestId, index) =>
          createArrival({
            requestId,
            path: `/unsafe/${requestId}`,
            at: 1000 + 400 * index,
            endedAt: 1010 + 400 * index,
          })
        ),
      },
      namedLimits: {
        "app-1": [{ requestsPerSecond: 0.5, from: 0, until: Infinity }],
      },
    },
    "one holder orders with one fencing number, which never falls": {
      arrivals: { "app-1": [arrival] },
      orders: {
        "lm-1": [createOrder(1, 1, "vm-1"), createOrder(2, 1, "vm-2")],
      },
    },
    "a server that says that it leaves gets no more requests of the VM that it told":
      createNoticed({ isLeaving: true, pauseMs: 0 }, [13_200]),
    "a server that wants no requests for a while gets none of the VM that it told":
      createNoticed({ isLeaving: false, pauseMs: 2000 }, [
        10_700,
        11_200,
        11_700,
      ]),
    "a gateway ends only when told to, in time": {
      arrivals: { "app-1": [arrival] },
      fleet: {
        exits: [{ vm: "vm-1", code: 1, cause: "itself", tookMs: 0 }],
      },
    },
    "a gateway whose start is hindered serves soon after": {
      arrivals: { "app-1": [arrival] },
      fleet: { starts: [createStart({ readyAt: 10_100 })] },
    },
    "no port is open while another one can't be opened": {
      arrivals: { "app-1": [arrival] },
      fleet: { starts: [createStart({ openedEarly: "peer" })] },
    },
    "settings that come just after the start are in force": {
      arrivals: { "app-1": [arrival] },
      fleet: { starts: [createStart({ isReloaded: false })] },
    },
    "a caller that has sent a large body gets a whole answer": {
      calls: [createCall({ ...noAnswer, hasLargeBody: true })],
    },
    "an answer whose caller reads on is not cut": {
      calls: [createCall(cutAnswer)],
      arrivals: { "app-1": [arrival] },
    },
    "callers with small requests beside large ones are served": {
      calls: servedIds.flatMap((id) => [
        createCall({
          id,
          path: `/unsafe/${id}`,
          payload: id,
          body: `app-1 ran ${id}`,
        }),
        createCall({ id: `${id}-beside`, vm: "vm-2", status: 502 }),
      ]),
      arrivals: {
        "app-1": servedIds.map((id) =>
          createArrival({ requestId: id, path: `/unsafe/${id}`, body: id })
        ),
      },
      fleet: { bodyLoads: [{ vm: "vm-2", from: 9000, until: 11_000 }] },
    },
    "a stop cuts no answer, also short of processor time": createCutByStop(),
    "a gateway's memory stays within its VM's": {
      arrivals: { "app-1": [arrival] },
      fleet: { memoryPeaksMb: new Map([["vm-1", 200], ["vm-2", 226]]) },
    },
  };
  for (const [promise, scenario] of Object.entries(cases)) {
    it(`returns only "${promise}"`, () =>
      expect(findBrokenPromises(scenario)).toEqual([promise]));
  }

  it("accepts answers that are cut late in a stop while their server is at work", () => {
    const isBroken = (arrival: Partial<ReceivedRequest>, from = 8500) =>
      findBrokenPromises(createCutByStop(arrival, from)).length > 0;
    expect(isBroken({ endedAt: 15_200 })).toBe(false);
    expect(isBroken({ endedAt: 15_100 })).toBe(true);
    // Sent more than three seconds after SIGTERM.
    expect(isBroken({ endedAt: 15_200 }, 6900)).toBe(true);
  });

  it("expects gateways that are frozen in turns to end in time", () => {
    const isBroken = (timeShare: number, stalledAt?: number) => {
      const stop = { cause: "stop", code: -1, tookMs: 8000 } as const;
      const disturbances = new Disturbances();
      if (stalledAt !== undefined) {
        const span = { from: stalledAt, to: stalledAt + 100 };
        disturbances.record(SOAK_PROCESS, span);
      }
      const exits = [{ vm: "vm-1", ...stop, timeShare, from: 5000 }];
      return findBrokenPromises({
        arrivals: { "app-1": [createArrival()] },
        fleet: { exits, disturbances },
      }).length > 0;
    };
    expect(isBroken(1)).toBe(true);
    expect(isBroken(1, 6000)).toBe(true);
    expect(isBroken(0.1)).toBe(true);
    expect(isBroken(0.1, 6000)).toBe(false);
    expect(isBroken(0.09)).toBe(true);
  });

  it("returns a violation when a fencing number falls", () => {
    const orders = {
      "lm-1": [createOrder(1, 2, "vm-1"), createOrder(9000, 1, "vm-2")],
    };
    expect(findBrokenPromises({ arrivals: { "app-1": [arrival] }, orders }))
      .toHaveLength(1);
  });

  it("returns a violation when a VM routes by an outdated configuration", () => {
    const calls = [createCall({
      route: "flip",
      path: "/flip/r1?n=1",
      status: 502,
    })];
    const configs = [
      { version: 1, sentAt: 0, ackedAt: 1 },
      { version: 2, sentAt: 5000, ackedAt: 5001 },
    ];
    const arrivals = { "blue-1": [createArrival({ path: "/flip/r1?n=1" })] };
    expect(findBrokenPromises({ calls, arrivals })).toEqual([]);
    expect(findBrokenPromises({
      calls,
      arrivals,
      fleet: { registry: { configs, drainPeriods: [] } },
    })).toHaveLength(1);
  });
});

describe("findViolations, given a disturbance", () => {
  it("accepts a late response that the disturbance explains", () => {
    const disturbances = new Disturbances();
    disturbances.record("vm-1", { from: 8000, to: 9000 });
    const calls = [createCall({ endedAt: 13_600 })];
    const arrivals = { "app-1": [createArrival()] };
    expect(findBrokenPromises({ calls, arrivals, fleet: { disturbances } }))
      .toEqual([]);
  });

  it("returns a violation for a request that ran twice during it", () => {
    const disturbances = new Disturbances();
    disturbances.record("vm-1", { from: 0, to: NOW });
    const arrival = createArrival();
    expect(findBrokenPromises({
      arrivals: { "app-1": [arrival], "app-2": [arrival] },
      fleet: { disturbances },
    })).toHaveLength(1);
  });

  // A VM that is cut forwards its requests, so the VM that sent one may have been suspended.
  it("accepts a run that another VM was late to cancel, if the caller's VM was cut", () => {
    const disturbances = new Disturbances();
    disturbances.record("vm-2", { from: 10_000, to: 12_000 });
    const calls = [
      createCall({
        status: undefined,
        disconnectedAt: 10_100,
        isComplete: false,
      }),
      createCall({
        id: "r2",
        vm: "vm-2",
        status: 503,
        path: "/unsafe/r2?n=1",
        payload: "payload of r2",
      }),
    ];
    const arrivals = { "app-1": [createArrival({ endedAt: 12_000 })] };
    const cut = { vm: "vm-1", from: 9000, until: 11_000 };
    const isBroken = (fleet: Partial<ObservedFleet>) =>
      findBrokenPromises({ calls, arrivals, fleet }).length > 0;
    expect(isBroken({ disturbances, lostLinks: [cut] })).toBe(false);
    expect(isBroken({ disturbances })).toBe(true);
    expect(isBroken({ lostLinks: [cut] })).toBe(true);
  });

  // A stop that cuts answers off counts as the end of an undisturbed time.
  it("returns a violation for an answer that a stop cut, and none for one of a killed VM", () => {
    const disturbances = new Disturbances();
    disturbances.record("vm-1", { from: 10_100, to: 12_000 });
    const calls = [createCall(cutAnswer)];
    const arrivals = { "app-1": [createArrival()] };
    const fleet = { disturbances };
    expect(findBrokenPromises({ calls, arrivals, fleet })).toEqual([]);
    const stops = [{ vm: "vm-1", from: 9000, until: 10_099 }];
    expect(findBrokenPromises({ calls, arrivals, fleet: { ...fleet, stops } }))
      .toHaveLength(1);
  });

  it("accepts a slow reader's answer that is cut at its route's timeout, and none before", () => {
    const arrivals = { "app-1": [createArrival()] };
    const isBroken = (endedAt: number) => {
      const call = createCall({ ...cutAnswer, readsSlowly: true, endedAt });
      return findBrokenPromises({ calls: [call], arrivals }).length > 0;
    };
    expect(isBroken(16_000)).toBe(false);
    expect(isBroken(15_999)).toBe(true);
  });

  it("accepts a stopping VM that closes the connection of a body which is not sent", () => {
    const stops = [{ vm: "vm-1", from: 9000, until: 11_000 }];
    const isBroken = (isSent: boolean) => {
      const call = createCall({ ...noAnswer, hasLargeBody: true, isSent });
      return findBrokenPromises({ calls: [call], fleet: { stops } }).length > 0;
    };
    expect(isBroken(false)).toBe(false);
    expect(isBroken(true)).toBe(true);
  });

  it("accepts a slow reader that has the head in time", () => {
    const arrivals = { "app-1": [createArrival()] };
    const isBroken = (fields: Partial<SoakCall>) =>
      findBrokenPromises({
        calls: [createCall({ readsSlowly: true, endedAt: 14_000, ...fields })],
        arrivals,
      }).length > 0;
    expect(isBroken({})).toBe(false);
    expect(isBroken({ headAt: 16_600 })).toBe(true);
  });
});
