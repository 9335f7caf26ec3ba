/**
 * Connections to all other members of the cell.
 * @module
 */
import { PeerError } from "./error.ts";
import { type LinkListener, PeerLink, type PeerLinkOptions } from "./link.ts";
import type { Method, Params, Result } from "./messages.ts";

/** Id and address of a peer. */
export interface PeerAddress {
  readonly id: string;
  /** `host:port` of its peer listener. */
  readonly address: string;
}

/** Options of a {@link PeerMesh}. */
export interface PeerMeshOptions
  extends Omit<PeerLinkOptions, "vmId" | "address" | "listener"> {
  readonly createListener: (vmId: string) => LinkListener;
}

/** A witness that takes longer to answer than a heartbeat may take is of no use. */
const WITNESS_TIMEOUT_MS = 300;

/** Keeps one {@link PeerLink} for each other member. */
export class PeerMesh {
  readonly #options: PeerMeshOptions;
  readonly #links = new Map<string, PeerLink>();

  constructor(options: PeerMeshOptions) {
    this.#options = options;
  }

  /** Ids of the peers that have a link, connected or not. */
  get ids(): string[] {
    return [...this.#links.keys()];
  }

  /** Whether a peer has a link, connected or not. */
  hasPeer(vmId: string): boolean {
    return this.#links.has(vmId);
  }

  /** Opens links to new peers, and closes those to peers that left or changed address. */
  setPeers(peers: readonly PeerAddress[]): void {
    const addresses = new Map(peers.map((peer) => [peer.id, peer.address]));
    for (const [id, link] of this.#links) {
      if (addresses.get(id) === link.address) continue;
      link.close();
      this.#links.delete(id);
    }
    for (const { id, address } of peers) {
      if (this.#links.has(id)) continue;
      const { createListener, ...linkOptions } = this.#options;
      const link = new PeerLink({
        ...linkOptions,
        vmId: id,
        address,
        listener: createListener(id),
      });
      this.#links.set(id, link);
      void link.run();
    }
  }

  /** Calls a method of one peer. Throws {@link PeerError}. */
  async call<M extends Method>(
    vmId: string,
    method: M,
    options: { params: Params<M>; timeoutMs?: number },
  ): Promise<Result<M>> {
    const link = this.#links.get(vmId);
    if (link === undefined) {
      throw new PeerError({ tag: "unreachable" }, `${vmId} is not a peer`);
    }
    const { params, timeoutMs } = options;
    return await link.call(
      method,
      params,
      timeoutMs === undefined ? {} : { timeoutMs },
    );
  }

  /** Asks a peer whether it has a recent heartbeat of `suspect`; undefined without a reply. */
  async askWitness(
    witness: string,
    suspect: string,
  ): Promise<boolean | undefined> {
    try {
      return await this.call(witness, "witness", {
        params: [suspect],
        timeoutMs: WITNESS_TIMEOUT_MS,
      });
    } catch {
      // A witness that does not answer is evidence neither for nor against the suspect.
      return undefined;
    }
  }

  /** Sends a notification to one peer; it is dropped while the peer is not connected. */
  notify<M extends Method>(vmId: string, method: M, params: Params<M>): void {
    this.#links.get(vmId)?.notify(method, params);
  }

  /** Sends a heartbeat to all peers at once. */
  sendHeartbeatsNow(): void {
    for (const link of this.#links.values()) link.sendHeartbeatNow();
  }

  /** Sends a notification to all connected peers. */
  broadcast<M extends Method>(method: M, params: Params<M>): void {
    for (const link of this.#links.values()) link.notify(method, params);
  }

  close(): void {
    for (const link of this.#links.values()) link.close();
    this.#links.clear();
  }
}
