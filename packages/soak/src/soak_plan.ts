/**
 * Draws the faults of a soak from its seed: series of one kind, several series at a time.
 * @module
 */
import { createRandom } from "@bitternfall/stand-ins";

/** Kinds of fault. */
export enum SoakFault {
  KillVm = "kill-vm",
  PauseVm = "pause-vm",
  /** SIGTERM, and a new start once the process is gone. */
  RestartVm = "restart-vm",
  /** SIGHUP with changed settings. */
  ReloadVm = "reload-vm",
  SilencePeer = "silence-peer",
  ResetPeer = "reset-peer",
  DelayPeer = "delay-peer",
  SilenceStoreLink = "silence-store-link",
  ResetStoreLink = "reset-store-link",
  DelayStoreLink = "delay-store-link",
  StoreDown = "store-down",
  StoreSlow = "store-slow",
  LoseStoreReplies = "lose-store-replies",
  SilentWatch = "silent-watch",
  SilenceServer = "silence-server",
  ResetServer = "reset-server",
  DelayServer = "delay-server",
  /** The server dies and comes back under its name. */
  CrashServer = "crash-server",
  DrainServer = "drain-server",
  RefusingServer = "refusing-server",
  FailingServer = "failing-server",
  ResettingServer = "resetting-server",
  HangingServer = "hanging-server",
  CuttingServer = "cutting-server",
  UnsealedServer = "unsealed-server",
  CrossingServer = "crossing-server",
  ChangeConfig = "change-config",
}

/** One fault of a plan. */
export interface PlannedFault {
  readonly kind: SoakFault;
  /** Milliseconds since the load began. */
  readonly at: number;
  readonly lastMs: number;
  /** Picks the target among those that fit; in [0, 1). */
  readonly pick: number;
}

const KINDS = Object.values(SoakFault);
/** Mean time between two series; several are under way at a time. */
const SERIES_EVERY_MS = 1200;
const MOST_IN_SERIES = 4;
const LONGEST_GAP_MS = 1500;
const SHORTEST_MS = 200;
const LONGEST_MS = 3500;
const QUIET_START_MS = 1000;

/** The faults of one soak, in order of their start. */
export function planSoak(
  options: { seed: number; durationMs: number },
): PlannedFault[] {
  const random = createRandom(options.seed);
  const faults: PlannedFault[] = [];
  for (let at = QUIET_START_MS; at < options.durationMs;) {
    at += -Math.log(1 - random()) * SERIES_EVERY_MS;
    const kind = KINDS[Math.floor(random() * KINDS.length)]!;
    const count = 1 + Math.floor(random() * MOST_IN_SERIES);
    const gapMs = random() * LONGEST_GAP_MS;
    const first = random();
    for (let index = 0; index < count; index++) {
      // A series hits one target again, or one after the other.
      const pick = random() < 0.5 ? first : random();
      const lastMs = SHORTEST_MS + random() * (LONGEST_MS - SHORTEST_MS);
      faults.push({ kind, at: at + index * gapMs, lastMs, pick });
    }
  }
  return faults.filter(({ at }) => at < options.durationMs)
    .sort((a, b) => a.at - b.at);
}
