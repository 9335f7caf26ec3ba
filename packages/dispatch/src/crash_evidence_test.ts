import { describe, expect, it } from "vitest";
import {
  CrashEvidence,
  type CrashReport,
  EMPTY_CRASH_RECORD,
  toRequestPart,
} from "./crash_evidence.ts";

const COMMON = 1;
const BAD = 2;

/** One report for each crash; each is of another request and another process. */
function createReports(...parts: number[][]): CrashReport[] {
  return parts.map((suspects, index) => ({
    process: `s${index}`,
    requestId: `r${index}`,
    parts: suspects,
  }));
}

function add(evidence: CrashEvidence, report: CrashReport): void {
  evidence.merge({ ...EMPTY_CRASH_RECORD, reports: [report] });
  evidence.judge();
}

/** Evidence with runs that have begun under the common part between the reports. */
function collect(reports: CrashReport[], evidence = new CrashEvidence()) {
  for (const report of reports) {
    add(evidence, report);
    evidence.recordBegin([COMMON]);
  }
  return evidence;
}

describe("CrashEvidence", () => {
  it("blames the part that three crashes share and no run that began has", () => {
    const evidence = collect(
      createReports([COMMON, BAD, 11], [COMMON, 12, BAD], [BAD, COMMON]),
    );
    expect(evidence.listBlocked()).toEqual([[BAD]]);
    expect(evidence.blocks([COMMON, 13, BAD])).toBe(true);
    expect(evidence.blocks([COMMON, 11, 12])).toBe(false);
  });

  // Guards against a verdict on sound requests that happen to run where servers end.
  it("blames no part under which a run has begun since", () => {
    const evidence = new CrashEvidence();
    for (const report of createReports([5], [5], [5], [5], [5], [5])) {
      add(evidence, report);
      evidence.recordBegin([5]);
    }
    expect(evidence.listBlocked()).toEqual([]);
  });

  // Guards against a single request that is sent on to servers that end for other reasons.
  it("blames nothing for three crashes of one request", () => {
    const reports = createReports([COMMON, 7], [COMMON, 7], [COMMON, 7]);
    const evidence = collect(
      reports.map((report) => ({ ...report, requestId: "r" })),
    );
    expect(evidence.listBlocked()).toEqual([]);
  });

  // Guards against a verdict on the request that was beside the one that ends servers.
  it("blames the part with more crashes where two requests explain them", () => {
    const evidence = new CrashEvidence();
    for (let crash = 0; crash < 4; crash++) {
      evidence.recordBegin([COMMON]);
      const process = `s${crash}`;
      if (crash > 0) {
        add(evidence, {
          process,
          requestId: `x${crash}`,
          parts: [COMMON, 8],
        });
      }
      add(evidence, {
        process,
        requestId: `r${crash}`,
        parts: [COMMON, BAD],
      });
    }
    expect(evidence.listBlocked()).toEqual([[BAD]]);
  });

  // Guards against a verdict on a sound request that stood beside several that end servers.
  it("needs more crashes of a part where each may be due to another request", () => {
    const evidence = new CrashEvidence();
    for (const [crash, bad] of [31, 32, 33, 31].entries()) {
      evidence.recordBegin([COMMON]);
      const process = `s${crash}`;
      add(evidence, { process, requestId: `r${crash}`, parts: [bad] });
      add(evidence, { process, requestId: `x${crash}`, parts: [8] });
      expect(evidence.blocks([8])).toBe(false);
    }
  });

  // Guards against a verdict on parts that merely come along with the one that ends servers.
  it("blocks parts that can't be told apart only together, and narrows the verdict", () => {
    const evidence = collect(createReports([BAD, 9], [BAD, 9], [BAD, 9]));
    expect(evidence.blocks([BAD, 9])).toBe(true);
    expect(evidence.blocks([9])).toBe(false);
    evidence.recordBegin([9]);
    expect(evidence.blocks([BAD])).toBe(true);
    expect(evidence.blocks([9, 10])).toBe(false);
  });

  // Guards against a verdict that stays on a request which was beside several that end servers.
  it("withdraws a verdict once others explain all of its crashes", () => {
    const evidence = new CrashEvidence();
    const crashes = [[21, 31], [22, 32], [23, 33]];
    for (const [index, [bad]] of crashes.entries()) {
      evidence.recordBegin([COMMON]);
      const process = `s${index}`;
      add(evidence, { process, requestId: `x${index}`, parts: [8] });
      add(evidence, { process, requestId: `r${index}`, parts: [bad!] });
    }
    expect(evidence.blocks([8])).toBe(true);
    for (const [index, [bad]] of crashes.entries()) {
      for (let crash = 0; crash < 3; crash++) {
        evidence.recordBegin([COMMON]);
        const id = `${index}.${crash}`;
        add(evidence, {
          process: `t${id}`,
          requestId: `q${id}`,
          parts: [bad!],
        });
      }
    }
    expect(evidence.blocks([8])).toBe(false);
    expect(crashes.every(([bad]) => evidence.blocks([bad!]))).toBe(true);
  });

  // Guards against sound prompts that stay blocked after a zone was lost while they were read.
  it("tries parts once whose crashes came at one moment, and ends the verdict with a run", () => {
    let now = 0;
    const evidence = new CrashEvidence({ now: () => now, trialDelayMs: 1000 });
    const lost = createReports([COMMON, 8], [COMMON, 8], [COMMON, 8]);
    evidence.merge({ ...EMPTY_CRASH_RECORD, reports: lost });
    evidence.recordBegin([COMMON]);
    evidence.judge();
    expect(evidence.blocks([8])).toBe(true);
    now = 1000;
    expect(evidence.startTrial([COMMON, 8])).toBe(true);
    now = 2000;
    expect(evidence.isTrialDue([COMMON, 8])).toBe(false);
    evidence.recordBegin([COMMON, 8]);
    expect(evidence.blocks([8])).toBe(false);
  });

  // Guards against sound requests that stay blocked since their trial failed for another reason.
  it("repeats a trial that showed nothing, but not one in which a server ended", () => {
    let now = 0;
    const evidence = new CrashEvidence({ now: () => now, trialDelayMs: 1000 });
    const part = toRequestPart(1);
    for (const report of createReports([part], [part], [part])) {
      add(evidence, report);
    }
    now = 1000;
    expect(evidence.startTrial([part])).toBe(true);
    now = 3999;
    expect(evidence.isTrialDue([part])).toBe(false);
    now = 4000;
    expect(evidence.startTrial([part])).toBe(true);
    add(evidence, { process: "s4", requestId: "r4", parts: [part] });
    now = 60_000;
    expect(evidence.isTrialDue([part])).toBe(false);
  });

  // Guards against trials that end one more server for each part that does so again and again.
  it("tries no parts whose crashes came one after the other beside sound runs", () => {
    let now = 0;
    const evidence = new CrashEvidence({ now: () => now });
    for (const report of createReports([BAD, 11], [BAD, 12], [BAD, 13])) {
      add(evidence, report);
      evidence.recordBegin([COMMON]);
      now += 600;
    }
    now += 60_000;
    expect(evidence.blocks([BAD])).toBe(true);
    expect(evidence.isTrialDue([BAD])).toBe(false);
  });

  // Guards against repeated requests that are let through since others end the same servers.
  it("withdraws no verdict on a whole request, but tries it once more", () => {
    let now = 0;
    const evidence = new CrashEvidence({ now: () => now, trialDelayMs: 1000 });
    const [first, second] = [toRequestPart(1), toRequestPart(2)];
    for (let crash = 0; crash < 3; crash++) {
      const process = `s${crash}`;
      add(evidence, { process, requestId: `r${crash}`, parts: [first] });
    }
    now = 1000;
    expect(evidence.startTrial([first])).toBe(true);
    add(evidence, { process: "s3", requestId: "r3", parts: [first] });
    now = 20_000;
    expect(evidence.isTrialDue([first])).toBe(false);
    // Another VM ran the second one on the same servers, and on more of them.
    for (let crash = 0; crash < 6; crash++) {
      const process = `s${crash}`;
      add(evidence, { process, requestId: `q${crash}`, parts: [second] });
    }
    expect(evidence.blocks([second])).toBe(true);
    expect(evidence.blocks([first])).toBe(true);
    expect(evidence.startTrial([first])).toBe(true);
    now = 21_000;
    expect(evidence.isTrialDue([first])).toBe(false);
    evidence.recordBegin([first]);
    expect(evidence.blocks([first])).toBe(false);
  });

  // Guards against servers that end under every request, which no prompt causes.
  it("blames no part that worked before while nothing begins any more", () => {
    const evidence = new CrashEvidence();
    evidence.recordBegin([COMMON]);
    const suspects = Array.from(
      { length: 8 },
      (_, index) => [COMMON, 20 + index],
    );
    for (const report of createReports(...suspects)) add(evidence, report);
    expect(evidence.blocks([COMMON, 99])).toBe(false);
  });

  // Guards against a verdict on what all prompts share, at VMs that were all killed at once.
  it("blames no part that worked at another VM, also after it was read from a replica", () => {
    const [entryVm, owner] = [new CrashEvidence(), new CrashEvidence()];
    const [first] = createReports([COMMON, 20]);
    for (const evidence of [entryVm, owner]) add(evidence, first!);
    owner.merge(entryVm.recordBegin([COMMON]));
    const restarted = new CrashEvidence();
    restarted.merge(owner.export());
    for (let crash = 1; crash <= 6; crash++) {
      const process = `t${crash}`;
      const parts = [COMMON, 20 + crash];
      add(restarted, { process, requestId: process, parts });
    }
    expect(restarted.blocks([COMMON, 99])).toBe(false);
  });

  // Guards against stored reports that still name a part which worked again after a crash.
  it("tells replicas each time that a part is taken out of a report", () => {
    const [evidence, replica] = [new CrashEvidence(), new CrashEvidence()];
    for (const report of createReports([8, 21], [8, 22])) {
      add(evidence, report);
      replica.merge(evidence.export());
      evidence.recordBegin([8]);
      expect(evidence.isMissingFrom(replica.export())).toBe(true);
      expect(replica.merge(evidence.export())).toBe(true);
      expect(evidence.isMissingFrom(replica.export())).toBe(false);
    }
  });

  // Guards against a verdict that waits for sound requests while there are none.
  it("blames a new part after five crashes also if nothing else begins", () => {
    const evidence = new CrashEvidence();
    evidence.recordBegin([COMMON]);
    const suspects = Array.from({ length: 5 }, () => [COMMON, BAD]);
    for (const report of createReports(...suspects)) add(evidence, report);
    expect(evidence.blocks([COMMON, BAD, 30])).toBe(true);
    expect(evidence.blocks([COMMON, 30])).toBe(false);
  });

  it("gives replicas the same verdict, in whatever order they are merged", () => {
    const reports = createReports([BAD, 1], [BAD, 3], [BAD, 4], [BAD, 5]);
    const first = collect(reports.slice(0, 2));
    const second = collect(reports.slice(2));
    const [one, two] = [first.export(), second.export()];
    expect(first.merge(two)).toBe(true);
    expect(second.merge(one)).toBe(true);
    first.judge();
    second.judge();
    expect(first.listBlocked()).toEqual([[BAD]]);
    expect(second.listBlocked()).toEqual([[BAD]]);
    expect(first.isMissingFrom(second.export())).toBe(true);
    first.merge(second.export());
    second.merge(first.export());
    expect(first.isMissingFrom(second.export())).toBe(false);
  });
});
