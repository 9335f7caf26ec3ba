import { beforeEach, describe, expect, it } from "vitest";
import { AssignedOutcome, ServerAssigner } from "./mod.ts";

const server = (id: string, availabilityZone = "a", bornAt = 1) => ({
  id,
  bornAt,
  availabilityZone,
});
const SERVERS = [server("s1"), server("s2")];

describe("the VM that assigns servers", () => {
  let now: number;
  let assigner: ServerAssigner;

  beforeEach(() => {
    now = 0;
    assigner = new ServerAssigner({ now: () => now, random: () => 0 });
  });

  const assign = (vm = "vm-1", servers = SERVERS) =>
    assigner.assign(servers, {
      vm,
      excluded: [],
      availabilityZone: "a",
      timeoutMs: 800,
    })!;
  const serve = (call: number, running = 0, pace = 1) =>
    assigner.end(call, {
      ms: 43,
      outcome: AssignedOutcome.Served,
      report: { running, leaving: false, slots: 6, pace },
    });

  it("spreads calls whose ends it has not heard of", () => {
    const counts = { s1: 0, s2: 0 };
    for (let count = 0; count < 12; count++) {
      counts[assign().server.id as "s1" | "s2"]++;
    }
    expect(counts).toEqual({ s1: 6, s2: 6 });
  });

  // A VM that ends, or a lost message, leaves calls behind.
  it("forgets a call whose end is not reported by its timeout", () => {
    assign();
    now = 900;
    assigner.retain(() => true);
    expect(assigner.size).toBe(0);
  });

  it("ignores the end of a call that it has not assigned, or that has ended", () => {
    const { call } = assign();
    serve(call + 1);
    serve(call);
    serve(call);
    expect(assigner.size).toBe(0);
    expect(assigner.getEstimate(server("s1")).calls).toBe(0);
  });

  it("avoids a server without answers only if two VMs say so", () => {
    const fail = (vm: string) => {
      const { call, server } = assign(vm, [SERVERS[0]!]);
      assigner.end(call, { ms: 1, outcome: AssignedOutcome.NoAnswer });
      return server.id;
    };
    const pickAll = () => {
      const picked = [0, 1].map(() => assign());
      for (const { call } of picked) assigner.end(call);
      return new Set(picked.map(({ server }) => server.id));
    };
    fail("vm-1");
    fail("vm-1");
    expect(pickAll()).toContain("s1");
    fail("vm-2");
    expect(pickAll()).toEqual(new Set(["s2"]));
  });

  it("drops the report of a process that has been replaced", () => {
    const { call } = assign("vm-1", [SERVERS[0]!]);
    assign("vm-1", [server("s1", "a", 2)]);
    serve(call, 30, 9);
    expect(assigner.getEstimate(server("s1", "a", 2)))
      .toEqual({ calls: 1, pace: 1, ageMs: Infinity });
  });

  it("prefers the zone of the caller's VM only while that delays no call", () => {
    const servers = [server("far", "b"), server("near", "a")];
    for (const one of servers) serve(assign("vm-1", [one]).call);
    const picked = Array.from(
      { length: 10 },
      () => assign("vm-1", servers).server.id,
    );
    expect(picked[0]).toBe("near");
    expect(picked.filter((id) => id === "near").length).toBeLessThan(8);
  });

  // A pace that is only known from the last report would keep the server idle for good.
  it("tries a server again that was slow, while calls wait at the other one", () => {
    const [slow, fast] = SERVERS.map((one) => assign("vm-1", [one]).call);
    serve(slow!, 0, 2.5);
    serve(fast!, 8);
    expect(assign().server.id).toBe("s2");
    for (now = 20; now <= 1000; now += 20) {
      const { call, server } = assign();
      if (server.id === "s1") return;
      serve(call, 9);
    }
    expect.fail("not tried within 1 s");
  });
});
