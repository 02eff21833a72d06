/** A client exports cached blocks; they stay pinned until released. */
export interface ExportAsked {
  kind: 'export_asked';
  callId: string;
  reqId: string;
  owner: string;
  hashes: string[];
  ttlMs: number;
}
