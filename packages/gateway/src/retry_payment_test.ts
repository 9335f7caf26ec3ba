import { describe, expect, it } from "vitest";
import { RetryAllowance } from "@bitternfall/dispatch";
import { RetryPayment } from "./retry_payment.ts";

const BUDGET = { ratio: 0, slack: 20, windowMs: 10_000 };

/** An allowance that has accrued for one window: nine tokens. */
function createAllowance(): RetryAllowance {
  const allowance = new RetryAllowance(BUDGET, { vmCount: 1, now: 0 });
  expect(Math.floor(allowance.getCount(BUDGET.windowMs - 1))).toBe(8);
  return allowance;
}

const NOW = BUDGET.windowMs - 1;

describe("RetryPayment", () => {
  it("pays for all arrivals but the first, each once", () => {
    const allowance = createAllowance();
    const payment = new RetryPayment(allowance);
    expect(payment.payFor(1, NOW)).toBe(0);
    expect(payment.payFor(3, NOW)).toBe(0);
    expect(payment.payFor(3, NOW)).toBe(0);
    expect(payment.paidCount).toBe(2);
    expect(Math.floor(allowance.getCount(NOW))).toBe(6);
  });

  it("leaves to the dispatcher what this VM can't pay for in full", () => {
    const allowance = createAllowance();
    const payment = new RetryPayment(allowance);
    expect(payment.payFor(12, NOW)).toBe(11);
    expect(Math.floor(allowance.getCount(NOW))).toBe(8);
    payment.addPaidByDispatcher(11);
    expect(payment.payFor(12, NOW)).toBe(0);
  });

  // Guards against a budget that connections refused by a crashed server use up.
  it("puts back what calls that reached no server did not need", () => {
    const allowance = createAllowance();
    const payment = new RetryPayment(allowance);
    payment.payFor(5, NOW);
    payment.settle(2, NOW);
    expect(Math.floor(allowance.getCount(NOW))).toBe(7);
    expect(payment.paidCount).toBe(1);
  });
});
