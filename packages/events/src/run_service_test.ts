import process from "node:process";
import { afterEach, describe, expect, it, vi } from "vitest";
import { SignalQueue } from "@bitternfall/types";
import { EventLog, runService, type Service } from "./mod.ts";

const signals = new SignalQueue();

function createService(methods: Partial<Service>): Service {
  const succeed = () => Promise.resolve();
  return {
    start: succeed,
    abandon: succeed,
    stop: succeed,
    reload: () => {},
    ...methods,
  };
}

afterEach(() => {
  vi.restoreAllMocks();
});

describe("runService", () => {
  const fail = () => Promise.reject(new Error("a fault"));
  const never = () => new Promise<void>(() => {});

  // Guards against a process that lives on, and says nothing, after its stop has failed.
  it.each<[string, Partial<Service>, "SIGTERM"?]>([
    ["stop", { stop: fail }, "SIGTERM"],
    ["end before the start", { start: never, abandon: fail }, "SIGTERM"],
    ["end after a failed start", { start: fail, abandon: fail }],
  ])("logs a failure to %s and exits with code 1", async (...args) => {
    const [, methods, signal] = args;
    const codes: unknown[] = [];
    vi.spyOn(process, "exit").mockImplementation((code) => {
      codes.push(code);
      return undefined as never;
    });
    const log = new EventLog();
    const emit = vi.spyOn(log, "emit").mockImplementation(() => {});
    void runService(createService(methods), { log, signals }).catch(() => {});
    if (signal !== undefined) {
      setTimeout(() => process.emit(signal, signal), 20);
    }
    await expect.poll(() => codes[0]).toBe(1);
    const reason = expect.objectContaining({ reason: "a fault" });
    expect(emit).toHaveBeenCalledWith("unexpectedError", reason, {
      isLast: true,
    });
  });
});
