/**
 * What servers have said of themselves in their answers to this VM: that they leave, which is
 * final for their process, and that they want no requests for a while.
 * @module
 */
import { type Clock, monotonicNow } from "@bitternfall/types";
import type { ServerEntry } from "./model.ts";
import type { ServerDirectory } from "./server_directory.ts";

/** What one answer says of its server. */
export interface ServerNotice {
  readonly isLeaving?: boolean | undefined;
  /** Time for which the server wants no requests; undefined if it names none. */
  readonly pauseMs?: number | undefined;
}

/** The process that has answered; its start time may be unknown. */
export type AnsweringServer =
  & Pick<ServerEntry, "id">
  & Partial<Pick<ServerEntry, "bornAt">>;

/** Options of {@link ServerNotices}. */
export interface ServerNoticesOptions {
  readonly directory: Pick<ServerDirectory, "markLeaving" | "find">;
  readonly now?: Clock;
}

interface ServerPause {
  /** Start time of the process that wants no requests; undefined if unknown. */
  readonly bornAt: number | undefined;
  readonly until: number;
}

/** A server that names a longer pause is asked again after this one. */
const MAX_PAUSE_MS = 60_000;

/** The notices that this VM has got. */
export class ServerNotices {
  readonly #directory: Pick<ServerDirectory, "markLeaving" | "find">;
  readonly #now: Clock;
  readonly #pauses = new Map<string, ServerPause>();

  constructor({ directory, now = monotonicNow }: ServerNoticesOptions) {
    this.#directory = directory;
    this.#now = now;
  }

  /** Takes notice of an answer. */
  onAnswer(
    { id: serverId, bornAt }: AnsweringServer,
    { isLeaving, pauseMs }: ServerNotice,
  ): void {
    if (isLeaving === true) this.#directory.markLeaving(serverId, bornAt);
    if (pauseMs === undefined || !(pauseMs > 0)) return;
    const until = this.#now() + Math.min(MAX_PAUSE_MS, pauseMs);
    const process = bornAt ?? this.#directory.find(serverId)?.bornAt;
    const known = this.#pauses.get(serverId);
    const isSame = known?.bornAt === process;
    this.#pauses.set(serverId, {
      bornAt: process,
      until: isSame ? Math.max(known?.until ?? 0, until) : until,
    });
  }

  /** Whether a server wants no requests of this VM now. */
  isPaused(serverId: string): boolean {
    return this.#getWaitMs(serverId) > 0;
  }

  /** The servers that want no requests of this VM now. */
  listPaused(): string[] {
    return [...this.#pauses.keys()].filter((id) => this.isPaused(id));
  }

  /** Time until the first of these servers wants requests; undefined if one does now. */
  getShortestWaitMs(serverIds: Iterable<string>): number | undefined {
    let shortest: number | undefined;
    for (const id of serverIds) {
      const waitMs = this.#getWaitMs(id);
      if (waitMs === 0) return undefined;
      shortest = Math.min(shortest ?? Infinity, waitMs);
    }
    return shortest;
  }

  #getWaitMs(serverId: string): number {
    const pause = this.#pauses.get(serverId);
    if (pause === undefined) return 0;
    const waitMs = pause.until - this.#now();
    const known = this.#directory.find(serverId)?.bornAt ?? pause.bornAt;
    // A process that has replaced the one that wanted none has said nothing yet.
    const isReplaced = pause.bornAt !== undefined && known !== pause.bornAt;
    if (waitMs > 0 && !isReplaced) return waitMs;
    this.#pauses.delete(serverId);
    return 0;
  }
}
