/** Offsets expire, since their peer may have stopped. */
const OFFSET_TTL_MS = 3_000;

/** Table offsets that peers have reported. */
export interface PeerOffsets {
  record(peer: string, next: number, nowMs: number): void;
  /**
   * The peer with an offset above `next` that reported last, if any. A peer
   * with a larger offset may have become unreachable since.
   */
  newerPeer(next: number, nowMs: number): string | undefined;
}

/** Creates an empty record of offsets. */
export function createPeerOffsets(): PeerOffsets {
  const offsets = new Map<string, {next: number; atMs: number}>();

  function record(peer: string, next: number, nowMs: number): void {
    const known = offsets.get(peer);
    // Messages may arrive out of order; a restarted peer is behind its old
    // offset until that expires.
    const valid = known && known.atMs + OFFSET_TTL_MS >= nowMs;
    if (valid && next < known.next) return;
    offsets.set(peer, {next, atMs: nowMs});
  }

  function newerPeer(next: number, nowMs: number): string | undefined {
    let newest: string | undefined;
    let newestMs = -Infinity;
    for (const [peer, offset] of offsets) {
      if (offset.atMs + OFFSET_TTL_MS < nowMs) offsets.delete(peer);
      else if (offset.next > next && offset.atMs >= newestMs) {
        newest = peer;
        newestMs = offset.atMs;
      }
    }
    return newest;
  }

  return {
    record,
    newerPeer,
  };
}
