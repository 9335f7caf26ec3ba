import { describe, expect, it } from "vitest";
import { type QuotaLimit, QuotaUnit } from "@bitternfall/access";
import { QuotaIssuer } from "./issuer.ts";
import { NOT_ISSUER } from "./messages.ts";
import { TAKEOVER_MS } from "./terms.ts";

const LIMIT: QuotaLimit = {
  unit: QuotaUnit.Tokens,
  perSecond: 1000,
  burst: 1000,
  plainTokens: 200,
};
const BOUND = { windowMs: 8000, tolerance: 0.1, slack: 0 };
const FULL_MS = 10_000;

/** An issuer of workspace `w`. */
class Fixture {
  now = 0;
  share = 1;
  isIssuer = true;
  #messageId = 0;
  readonly issuer = new QuotaIssuer({
    bound: BOUND,
    isIssuer: () => this.isIssuer,
    getReachableShare: () => this.share,
    now: () => this.now,
  });

  constructor() {
    this.issuer.setLimits(new Map([["w", LIMIT]]));
  }

  /** Asks for one amount after another until one is denied; returns their sum. */
  drain(): number {
    let sum = 0;
    while (this.take(100)[0] > 0) sum += 100;
    return sum;
  }

  take(least: number, { returned = 0, overdrawn = 0, id = 0 } = {}) {
    const messageId = id || ++this.#messageId + 1000;
    const [reply] = this.issuer.take("vm", messageId, [
      ["w", least, 0, 0, overdrawn, returned],
    ]);
    return reply!;
  }
}

describe("an issuer", () => {
  // Guards against leases of the previous issuer beside a full bucket.
  it("starts empty, and fills at the rate", () => {
    const fixture = new Fixture();
    expect(fixture.take(100)[0]).toBe(0);
    fixture.now = TAKEOVER_MS + 500;
    const issued = fixture.drain();
    expect(issued).toBeGreaterThanOrEqual(500);
    expect(issued).toBeLessThan(800);
  });

  // Guards against a new workspace that is refused after its first configuration.
  it("starts full for a workspace that a later configuration adds", () => {
    const fixture = new Fixture();
    fixture.issuer.setLimits(new Map([["v", LIMIT], ["w", LIMIT]]));
    const req = [["v", 900, 0, 0, 0, 0] as const];
    const replies = fixture.issuer.take("vm", 1, [[...req[0]!]]);
    expect(replies[0]![0]).toBe(900);
  });

  // Guards against a message that arrives twice.
  it("answers a repeated message alike, and issues once", () => {
    const fixture = new Fixture();
    fixture.now = FULL_MS;
    const first = fixture.take(900, { id: 7 });
    expect(fixture.take(900, { id: 7 })).toEqual(first);
    expect(fixture.drain()).toBeGreaterThan(0);
  });

  // Guards against two VMs that both issue the whole limit.
  it("issues the share of the VMs that it reaches", () => {
    const fixture = new Fixture();
    fixture.now = FULL_MS;
    fixture.drain();
    fixture.share = 0.25;
    fixture.take(0);
    fixture.now += 4000;
    const issued = fixture.drain();
    expect(issued).toBeLessThan(800);
  });

  // Guards against an issuer that goes on after another VM has its role.
  it("issues nothing without its role, and starts empty when it is back", () => {
    const fixture = new Fixture();
    fixture.now = FULL_MS;
    fixture.isIssuer = false;
    expect(fixture.take(100)).toEqual(NOT_ISSUER);
    fixture.issuer.sync();
    fixture.isIssuer = true;
    fixture.issuer.sync();
    expect(fixture.take(100)[0]).toBe(0);
  });

  // Guards against VMs that create tokens by what they return.
  it("takes back no more than it has issued, once", () => {
    const fixture = new Fixture();
    fixture.now = FULL_MS;
    fixture.take(500);
    fixture.drain();
    const returned = 400;
    fixture.take(0, { returned });
    fixture.drain();
    fixture.now += 20_000;
    fixture.take(0);
    fixture.drain();
    const [issued] = fixture.take(100, { returned: 1e6 });
    expect(issued).toBe(100);
    expect(fixture.drain()).toBeLessThan(3000);
  });

  // Guards against overdraft that is free.
  it("issues nothing until what was overdrawn has been filled up", () => {
    const fixture = new Fixture();
    fixture.now = FULL_MS;
    fixture.drain();
    const [issued, waitMs] = fixture.take(100, { overdrawn: 500 });
    expect(issued).toBe(0);
    expect(waitMs).toBeGreaterThanOrEqual(500);
    fixture.now += waitMs;
    expect(fixture.take(100)[0]).toBe(100);
  });

  // Guards against VMs that all ask for the same tokens at once.
  it("gives each denied VM a later time", () => {
    const fixture = new Fixture();
    fixture.now = FULL_MS;
    fixture.drain();
    const waits = [1, 2, 3].map(() => fixture.take(300)[1]);
    expect(new Set(waits).size).toBe(3);
    expect(waits).toEqual([...waits].sort((a, b) => a - b));
  });
});
